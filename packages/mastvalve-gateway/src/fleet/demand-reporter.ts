/**
 * Reports the demand of callers to control's leader: periodically, and immediately when requests begin to wait.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {DemandResponse} from 'mastvalve-fleet-control';
import {waitFor} from 'mastvalve-utils';
import type {ModelDemand} from '../routing/model-demand.js';

const reportIntervalMs = 1000;
/** Delay after a failed report, ms. */
const retryDelayMs = 150;
/** Longest time without a byte before a report fails, ms. */
const idleTimeoutMs = 500;

export class DemandReporter {
	/** Number of entries that report to the leader, from its latest response; undefined before the first one. */
	entryCount: number | undefined;
	/** Ends the pause after a received report. */
	private pauseController: AbortController = new AbortController();

	constructor(private readonly client: PeerClient, private readonly readLeader: () => string | undefined) {}

	/** Sends the next report without waiting for the interval to end. */
	reportNow(): void {
		this.pauseController.abort();
	}

	/** Reports until the signal aborts. */
	async run(demand: ModelDemand, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.pauseController = new AbortController();
			// Reports are sequential; demand that arises meanwhile is part of the next one.
			// eslint-disable-next-line no-await-in-loop
			const isReceived = await this.report(demand, signal);
			// eslint-disable-next-line no-await-in-loop
			await waitFor(isReceived ? reportIntervalMs : retryDelayMs, isReceived ? AbortSignal.any([this.pauseController.signal, signal]) : signal);
		}
	}

	/** Sends a report; returns whether the leader received it. */
	private async report(demand: ModelDemand, signal: AbortSignal): Promise<boolean> {
		const address = this.readLeader();
		if (address === undefined) {
			return false;
		}

		const answer = await this.client.call<DemandResponse>({
			address, path: '/demand', body: {...demand.takeReport(), knownEntries: this.entryCount}, idleTimeoutMs, signal,
		});
		this.entryCount = answer.isOk() ? answer.value.entries : this.entryCount;
		return answer.isOk();
	}
}
