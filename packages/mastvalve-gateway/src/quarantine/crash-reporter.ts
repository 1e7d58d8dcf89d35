/**
 * Reports crashes to control until they are committed to its log: a lost report allows a request to crash more endpoints.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {CrashReport} from 'mastvalve-fleet';
import {waitFor} from 'mastvalve-utils';

export type CrashReporterOptions = {
	client: PeerClient;
	/** Returns the control instances that accept reports, in order of preference. */
	listTargets: () => string[];
};

/** Longest time without a byte before a report fails, ms. */
const idleTimeoutMs = 500;
/** Delay before the next control instance is tried, ms. */
const retryDelayMs = 100;
/** Interval at which a reporter without pending reports checks again without being notified, ms. */
const recheckIntervalMs = 60_000;
/** Maximum number of pending reports while control is unreachable; the oldest are dropped. */
const maxPending = 1000;

export class CrashReporter {
	private pending: CrashReport[] = [];
	private idleController = new AbortController();

	constructor(private readonly options: CrashReporterOptions) {}

	/** Queues a crash for reporting. */
	enqueue(report: CrashReport): void {
		this.pending = [...this.pending, report].slice(-maxPending);
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
			} else {
				// One request at a time.
				// eslint-disable-next-line no-await-in-loop
				failures = await this.report(failures, signal) ? 0 : failures + 1;
			}
		}
	}

	/** Sends all pending reports to one control instance; returns whether it has accepted them. */
	private async report(failures: number, signal: AbortSignal): Promise<boolean> {
		const {client, listTargets} = this.options;
		const targets = listTargets();
		const address = targets[failures % Math.max(1, targets.length)];
		const reports = this.pending;
		const answer = address === undefined
			? undefined
			: await client.call({
				address, path: '/crashes', body: reports, idleTimeoutMs, signal,
			});
		if (answer?.isOk()) {
			this.pending = this.pending.filter(report => !reports.includes(report));
			return true;
		}

		await waitFor(retryDelayMs, signal);
		return false;
	}
}
