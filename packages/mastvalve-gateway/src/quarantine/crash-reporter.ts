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
const retryPauseMs = 100;
/** Time after which a reporter without reports looks again by itself, ms. */
const idleMs = 60_000;
/** Reports that wait while control is away; the oldest give way. */
const maxWaiting = 1000;

/** The reporter. */
export class CrashReporter {
	private waiting: CrashReport[] = [];
	private wake = new AbortController();

	constructor(private readonly options: CrashReporterOptions) {}

	/** Reports a crash. */
	add(report: CrashReport): void {
		this.waiting = [...this.waiting, report].slice(-maxWaiting);
		this.wake.abort();
	}

	/** Reports until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let tries = 0;
		while (!signal.aborted) {
			if (this.waiting.length === 0) {
				this.wake = new AbortController();
				// eslint-disable-next-line no-await-in-loop
				await waitFor(idleMs, AbortSignal.any([this.wake.signal, signal]));
			} else {
				// One report after the other.
				// eslint-disable-next-line no-await-in-loop
				tries = await this.report(tries, signal) ? 0 : tries + 1;
			}
		}
	}

	/** Tells all that waits to one control instance; whether it has it. */
	private async report(tries: number, signal: AbortSignal): Promise<boolean> {
		const {client, listTargets} = this.options;
		const targets = listTargets();
		const address = targets[tries % Math.max(1, targets.length)];
		const reports = this.waiting;
		const answer = address === undefined
			? undefined
			: await client.call({
				address, path: '/crashes', body: reports, idleTimeoutMs: silenceMs, signal,
			});
		if (answer?.isOk()) {
			this.waiting = this.waiting.filter(report => !reports.includes(report));
			return true;
		}

		await waitFor(retryPauseMs, signal);
		return false;
	}
}
