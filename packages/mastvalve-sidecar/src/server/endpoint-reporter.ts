/**
 * Reports the state of the endpoint upstream: what has changed at once, and now and then that nothing has.
 */

import type {UpstreamClient} from 'mastvalve-http';
import {EndpointState, type Endpoint, type EndpointReport} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';
import type {EngineKeeper} from '../engine/engine-keeper.js';
import type {EndpointGate} from './endpoint-gate.js';

export type EndpointReporterOptions = {
	clock: Clock;
	upstream: Pick<UpstreamClient, 'report'>;
	ledger: Pick<EngineKeeper['ledger'], 'loaded' | 'unproved'>;
	queue: Pick<EndpointGate['queue'], 'runningCount' | 'queuedCount'>;
	/** Returns the endpoint as control knows it; undefined until it has joined. */
	readEndpoint: () => Endpoint | undefined;
	isLeaving: () => boolean;
};

/** An unchanged state is reported again after this time, ms. */
const heartbeatMs = 2000;

export class EndpointReporter {
	/** State that upstream has last accepted. */
	private lastState = '';
	private lastReportAt = 0;
	private sequence = 0;
	private isReporting = false;

	constructor(private readonly options: EndpointReporterOptions) {}

	/** Reports the state if it has changed, or if the last report is old. */
	async report(): Promise<void> {
		const {clock, upstream, readEndpoint} = this.options;
		const endpoint = readEndpoint();
		// One at a time, so that they arrive in order; what changes meanwhile goes with the next.
		if (!endpoint || this.isReporting) {
			return;
		}

		const now = clock.now();
		const report = this.createReport(endpoint);
		const state = JSON.stringify([report.state, report.loaded]);
		if (state === this.lastState && now - this.lastReportAt < heartbeatMs) {
			return;
		}

		this.isReporting = true;
		const sent = await upstream.report([report]);
		this.isReporting = false;
		if (sent.isOk()) {
			this.lastState = state;
			this.lastReportAt = now;
		}
	}

	private createReport({id, incarnation}: Endpoint): EndpointReport {
		const {ledger, queue, isLeaving} = this.options;
		this.sequence += 1;
		return {
			endpointId: id,
			incarnation,
			sequence: this.sequence,
			state: isLeaving() ? EndpointState.Leaving : EndpointState.Live,
			loaded: ledger.loaded,
			loading: ledger.unproved,
			running: queue.runningCount,
			queued: queue.queuedCount,
		};
	}
}
