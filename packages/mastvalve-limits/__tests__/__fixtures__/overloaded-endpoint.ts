/**
 * Simulates, in virtual time, an endpoint with few slots that refuses excess requests, and the entries that share it.
 */

import {createRandom, type Random} from 'mastvalve-utils';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {AdmissionKind, type EndpointBackoff} from '../../src/index.js';

const slots = 8;
const meanRunMs = 300;
const networkDelayMs = 2;
const backoffMs = 3000;
/** Requests in flight when the endpoint refused are not counted as violations. */
const inFlightToleranceMs = 500;
const msPerSecond = 1000;

type BackoffState = Pick<EndpointBackoff, 'checkAdmission' | 'recordRefusal' | 'beginRequest'>;

/** Sends all requests again as soon as the backoff ends. */
export class ImmediateRetry implements BackoffState {
	private until = Number.NEGATIVE_INFINITY;

	checkAdmission(now: number): ReturnType<EndpointBackoff['checkAdmission']> {
		return now < this.until ? {kind: AdmissionKind.At, at: this.until} : {kind: AdmissionKind.Now};
	}

	recordRefusal(now: number, delayMs: number): void {
		this.until = Math.max(this.until, now + delayMs);
	}

	beginRequest(): ReturnType<EndpointBackoff['beginRequest']> {
		return {recordAnswer: () => false, finish: () => false};
	}
}

export class OverloadedEndpoint {
	/** Arrival times of accepted requests and of all requests. */
	readonly accepted: number[] = [];
	readonly arrived: number[] = [];
	readonly refusals: number[] = [];
	/** Requests that arrived during the backoff of their entry. */
	violations = 0;
	readonly time = new VirtualTime();
	private running = 0;
	private readonly random: Random;
	private readonly entries: Array<{state: BackoffState; refusedAt: number[]}>;

	constructor(entries: number, createState: () => BackoffState, private readonly outage = {from: 0, to: 0}) {
		this.random = createRandom(entries);
		this.entries = Array.from({length: entries}, () => ({state: createState(), refusedAt: []}));
	}

	/** Sends requests at random times, at a multiple of the endpoint's throughput. */
	async load(factor: number, ms: number): Promise<void> {
		const meanIntervalMs = meanRunMs / slots / factor;
		const end = this.time.clock.now() + ms;
		const arrive = async (): Promise<void> => {
			while (this.time.clock.now() < end) {
				// eslint-disable-next-line no-await-in-loop
				await this.time.wait(-Math.log(1 - this.random()) * meanIntervalMs);
				void this.serve(this.entries[Math.floor(this.random() * this.entries.length)]!);
			}
		};

		void arrive();
		await this.time.advance(ms);
	}

	private async serve(entry: {state: BackoffState; refusedAt: number[]}): Promise<void> {
		const {time, random} = this;
		const {state, refusedAt} = entry;
		this.arrived.push(time.clock.now());
		if (state.checkAdmission(time.clock.now()).kind !== AdmissionKind.Now) {
			return;
		}

		const use = state.beginRequest();
		await time.wait(networkDelayMs);
		const now = time.clock.now();
		this.violations += refusedAt.some(at => now > at + inFlightToleranceMs && now < at + backoffMs) ? 1 : 0;
		const isOutage = now >= this.outage.from * msPerSecond && now < this.outage.to * msPerSecond;
		if (isOutage || this.running >= slots) {
			this.refusals.push(now);
			refusedAt.push(now);
			await time.wait(networkDelayMs);
			state.recordRefusal(time.clock.now(), backoffMs, random());
			use.recordAnswer(false);
			use.finish();
			return;
		}

		this.accepted.push(now);
		this.running += 1;
		await time.wait(meanRunMs * (0.5 + random()));
		this.running -= 1;
		await time.wait(networkDelayMs);
		use.recordAnswer(true);
		use.finish();
	}
}
