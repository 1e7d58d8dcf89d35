/**
 * Which reports of sidecars an entry passes on to control.
 *
 * Heartbeats of thousands of sidecars end at the entries: only what changes, and now and then that nothing did, goes on
 * to the leader.
 */

import type {EndpointReport} from 'mastvalve-types';

/** An unchanged report is passed on this often, ms. */
const refreshMs = 60_000;

type Passed = {content: string; at: number};

/** One entry's filter. */
export class ReportFilter {
	private readonly passed = new Map<string, Passed>();

	/** The reports that must go on. */
	select(reports: readonly EndpointReport[], now: number): EndpointReport[] {
		return reports.filter(report => {
			const last = this.passed.get(report.endpointId);
			return last?.content !== describeContent(report) || now - last.at >= refreshMs;
		});
	}

	/** These have reached control. */
	recordPassed(reports: readonly EndpointReport[], now: number): void {
		reports.forEach(report => {
			this.passed.set(report.endpointId, {content: describeContent(report), at: now});
		});
	}

	/** Forgets endpoints that are gone. */
	keepOnly(endpointIds: ReadonlySet<string>): void {
		[...this.passed.keys()].filter(id => !endpointIds.has(id)).forEach(id => {
			this.passed.delete(id);
		});
	}
}

const describeContent = (report: EndpointReport): string => JSON.stringify([report.incarnation, report.state, report.loaded]);
