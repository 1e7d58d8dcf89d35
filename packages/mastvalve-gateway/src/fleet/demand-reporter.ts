/**
 * Tells control's leader what callers ask for: once in a while, and at once when requests begin to wait.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {DemandResponse} from 'mastvalve-fleet-control';
import {waitFor} from 'mastvalve-utils';
import type {ModelDemand} from '../routing/model-demand.js';

/** Time between reports, ms. */
const reportIntervalMs = 1000;
/** Pause before a report that did not arrive is followed by the next, ms. */
const retryDelayMs = 150;
/** Longest time without a byte, ms. */
const silenceMs = 500;

/** The reporter. */
export class DemandReporter {
	/** Entries that report to the leader, as last heard; undefined before the first answer. */
	entryCount: number | undefined;
	private pauseController: AbortController = new AbortController();

	constructor(private readonly client: PeerClient, private readonly readLeader: () => string | undefined) {}

	/** Reports now. */
	reportNow(): void {
		this.pauseController.abort();
	}

	/** Reports until the signal aborts. */
	async run(demand: ModelDemand, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.pauseController = new AbortController();
			// One report after the other; what comes meanwhile goes into the next.
			// eslint-disable-next-line no-await-in-loop
			const isReceived = await this.report(demand, signal);
			// eslint-disable-next-line no-await-in-loop
			await waitFor(isReceived ? reportIntervalMs : retryDelayMs, isReceived ? AbortSignal.any([this.pauseController.signal, signal]) : signal);
		}
	}

	/** Whether the leader heard the report. */
	private async report(demand: ModelDemand, signal: AbortSignal): Promise<boolean> {
		const address = this.readLeader();
		if (address === undefined) {
			return false;
		}

		const answer = await this.client.call<DemandResponse>({
			address, path: '/demand', body: demand.takeReport(), idleTimeoutMs: silenceMs, signal,
		});
		this.entryCount = answer.isOk() ? answer.value.entries : this.entryCount;
		return answer.isOk();
	}
}
