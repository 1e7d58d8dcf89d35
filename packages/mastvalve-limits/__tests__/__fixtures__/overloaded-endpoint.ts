/**
 * One endpoint with few slots that refuses what is too much, and entries that share it, in virtual time.
 */

import {createRandom, type Random} from 'mastvalve-utils';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {AdmissionKind, type EndpointBackoff} from '../../src/index.js';

const slots = 8;
const meanRunMs = 300;
const wayMs = 2;
const backoffMs = 3000;
/** Requests that were on their way when the endpoint answered are not counted, ms. */
const noticeMs = 500;
const msPerSecond = 1000;

/** What an entry keeps of the endpoint. */
type BackoffState = Pick<EndpointBackoff, 'checkAdmission' | 'recordRefusal' | 'beginRequest'>;

/** Returns with all its requests as soon as the backoff is over. */
export class ReturnAtOnce implements BackoffState {
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

/** The endpoint and its entries. */
export class OverloadedEndpoint {
	/** When requests came that were taken, and all that came. */
	readonly taken: number[] = [];
	readonly came: number[] = [];
	readonly refusals: number[] = [];
	/** Requests that came in the time for which their entry had been asked to back off. */
	violations = 0;
	readonly time = new VirtualTime();
	private running = 0;
	private readonly random: Random;
	private readonly entries: Array<{state: BackoffState; refusedAt: number[]}>;

	constructor(entries: number, createState: () => BackoffState, private readonly outage = {from: 0, to: 0}) {
		this.random = createRandom(entries);
		this.entries = Array.from({length: entries}, () => ({state: createState(), refusedAt: []}));
	}

	/** Lets requests come at random moments, as a multiple of what the endpoint takes. */
	async load(factor: number, ms: number): Promise<void> {
		const meanPauseMs = meanRunMs / slots / factor;
		const end = this.time.clock.now() + ms;
		const arrive = async (): Promise<void> => {
			while (this.time.clock.now() < end) {
				// eslint-disable-next-line no-await-in-loop
				await this.time.wait(-Math.log(1 - this.random()) * meanPauseMs);
				void this.serve(this.entries[Math.floor(this.random() * this.entries.length)]!);
			}
		};

		void arrive();
		await this.time.advance(ms);
	}

	private async serve(entry: {state: BackoffState; refusedAt: number[]}): Promise<void> {
		const {time, random} = this;
		const {state, refusedAt} = entry;
		this.came.push(time.clock.now());
		if (state.checkAdmission(time.clock.now()).kind !== AdmissionKind.Now) {
			return;
		}

		const use = state.beginRequest();
		await time.wait(wayMs);
		const now = time.clock.now();
		this.violations += refusedAt.some(at => now > at + noticeMs && now < at + backoffMs) ? 1 : 0;
		const isOut = now >= this.outage.from * msPerSecond && now < this.outage.to * msPerSecond;
		if (isOut || this.running >= slots) {
			this.refusals.push(now);
			refusedAt.push(now);
			await time.wait(wayMs);
			state.recordRefusal(time.clock.now(), backoffMs, random());
			use.recordAnswer(false);
			use.finish();
			return;
		}

		this.taken.push(now);
		this.running += 1;
		await time.wait(meanRunMs * (0.5 + random()));
		this.running -= 1;
		await time.wait(wayMs);
		use.recordAnswer(true);
		use.finish();
	}
}
