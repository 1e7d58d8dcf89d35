/**
 * Sends reports to control until a leader has recorded them: a lost report of a crash allows a request to crash more endpoints.
 */

import type {PeerClient} from 'mastvalve-cluster';
import {waitFor} from 'mastvalve-utils';

export type ControlReporterOptions<Report> = {
	client: PeerClient;
	/** Path of the call. */
	path: string;
	/** Returns the control instances that accept reports, in order of preference. */
	listTargets: () => string[];
	/** Adds a report to those that are pending. */
	add: (pending: readonly Report[], report: Report) => Report[];
	/** Time for which reports are collected before they are sent, ms. */
	collectMs: () => number;
	/** Failed calls after which the pending reports are dropped. */
	maxFailures: number;
};

/** Longest time without a byte before a report fails, ms. */
const idleTimeoutMs = 500;
/** Delay before the next control instance is tried, ms. */
const retryDelayMs = 100;
/** Interval at which a reporter without pending reports checks again without being notified, ms. */
const recheckIntervalMs = 60_000;
/** Maximum number of pending reports while control is unreachable; the oldest are dropped. */
const maxPending = 1000;

export class ControlReporter<Report> {
	private pending: Report[] = [];
	private idleController = new AbortController();

	constructor(private readonly options: ControlReporterOptions<Report>) {}

	/** Queues a report. */
	enqueue(report: Report): void {
		this.pending = this.options.add(this.pending, report).slice(-maxPending);
		this.idleController.abort();
	}

	/** Reports until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let failures = 0;
		while (!signal.aborted) {
			if (this.pending.length === 0) {
				this.idleController = new AbortController();
				// eslint-disable-next-line no-await-in-loop
				await waitFor(recheckIntervalMs, AbortSignal.any([this.idleController.signal, signal]));
				// eslint-disable-next-line no-await-in-loop
				await waitFor(this.options.collectMs(), signal);
			} else {
				// One call at a time.
				// eslint-disable-next-line no-await-in-loop
				failures = await this.report(failures, signal) ? 0 : failures + 1;
				if (failures >= this.options.maxFailures) {
					this.pending = [];
					failures = 0;
				}
			}
		}
	}

	/** Sends all pending reports to one control instance; returns whether it has accepted them. */
	private async report(failures: number, signal: AbortSignal): Promise<boolean> {
		const {client, path, listTargets} = this.options;
		const targets = listTargets();
		const address = targets[failures % Math.max(1, targets.length)];
		const reports = this.pending;
		const answer = address === undefined
			? undefined
			: await client.call({
				address, path, body: reports, idleTimeoutMs, signal,
			});
		if (answer?.isOk()) {
			this.pending = this.pending.filter(report => !reports.includes(report));
			return true;
		}

		await waitFor(retryDelayMs, signal);
		return false;
	}
}
