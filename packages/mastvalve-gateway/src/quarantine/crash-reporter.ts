/**
 * Tells control of crashes until it has them in its log: what is lost here lets a request end more endpoints.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {CrashReport} from 'mastvalve-fleet';
import {waitFor} from 'mastvalve-utils';

/** What it is made from. */
export type CrashReporterOptions = {
	client: PeerClient;
	/** Control instances that take reports, the best one first. */
	listTargets: () => string[];
};

/** Longest time without a byte, ms. */
const silenceMs = 500;
/** Pause before the next control instance is tried, ms. */
const retryDelayMs = 100;
/** Time after which a reporter without reports looks again by itself, ms. */
const idleTimeoutMs = 60_000;
/** Reports that wait while control is away; the oldest give way. */
const maxPending = 1000;

/** The reporter. */
export class CrashReporter {
	private pending: CrashReport[] = [];
	private idleController = new AbortController();

	constructor(private readonly options: CrashReporterOptions) {}

	/** Reports a crash. */
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
				await waitFor(idleTimeoutMs, AbortSignal.any([this.idleController.signal, signal]));
			} else {
				// One report after the other.
				// eslint-disable-next-line no-await-in-loop
				failures = await this.report(failures, signal) ? 0 : failures + 1;
			}
		}
	}

	/** Tells all that waits to one control instance; whether it has it. */
	private async report(failures: number, signal: AbortSignal): Promise<boolean> {
		const {client, listTargets} = this.options;
		const targets = listTargets();
		const address = targets[failures % Math.max(1, targets.length)];
		const reports = this.pending;
		const answer = address === undefined
			? undefined
			: await client.call({
				address, path: '/crashes', body: reports, idleTimeoutMs: silenceMs, signal,
			});
		if (answer?.isOk()) {
			this.pending = this.pending.filter(report => !reports.includes(report));
			return true;
		}

		await waitFor(retryDelayMs, signal);
		return false;
	}
}
