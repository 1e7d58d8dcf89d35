/**
 * Per-endpoint state that one entry derives from its own requests. It is not persisted; losing it is safe.
 */

import {
	AdmissionKind, EndpointBackoff, LimitHeaderKind, type LimitHeader,
} from 'mastvalve-limits';
import type {ReportedLoad} from '../dialect.js';

/** Observations of one endpoint. */
export type EndpointObservations = {
	/** Requests of this entry in flight. */
	inFlight: number;
	/** Requests of this entry in flight without a first byte. */
	awaitingFirstByte: number;
	/** Prompt tokens of those requests. */
	pendingPromptTokens: number;
	load: ReportedLoad | undefined;
	/** When the load was reported, ms. */
	loadReportedAt: number;
	/** Moving mean of the delay of first bytes beyond the time without a queue, ms. */
	startDelayMs: number;
	/** When that delay was last updated, ms. */
	startDelayAt: number;
	/** Others are preferred until this time, ms. */
	suspectUntil: number;
	failures: number;
	/** No process listened at its address; it receives no requests until this time, ms. */
	notListeningUntil: number;
	/** When the last byte of an executed response was received, ms. */
	lastByteAt: number;
	/** Since when at least one request of this entry has been in flight, ms. */
	busySince: number;
	/** Models with adapters that it reported not to hold, with the revision of the endpoint that listed them. */
	missingModels: Map<string, number>;
	/** When the next permit is expected, after one was denied to this entry, ms. */
	permitAt: number;
	/** Limit header of its last response. */
	announcedLimit: LimitHeader;
	/** Backoff requested by its refusals. */
	backoff: EndpointBackoff;
	/** Whether another endpoint has answered at its address. */
	isReplaced: boolean;
	/** Whether it announced that it is leaving; it doesn't return under this identity. */
	isLeaving: boolean;
};

/** Initial time for which others are preferred after a failure, ms; doubles with each consecutive failure. */
const initialSuspicionMs = 400;
const maxSuspicionMs = 6000;

/**
 * Time for which an endpoint that doesn't listen is skipped, ms. Its process has ended, and control detects that within this time by
 * missing heartbeats or the first one of the next incarnation. Until then such endpoints would exhaust the attempts of requests at once.
 */
const notListeningMs = 5000;

/** Weight of the newest response in the moving mean of start delays. */
const delayWeight = 0.4;

/** A request that was sent to an endpoint. */
export type EndpointRequest = {
	/** Records that the prefill is done. */
	recordFirstByte: () => void;
	/** Records the head of the response; `isAccepted` is whether the endpoint accepted the request. */
	recordResponse: (isAccepted: boolean) => void;
	end: () => void;
};

const formatAnnouncedLimit = (limit: LimitHeader): string => (limit.kind === LimitHeaderKind.Rate ? String(limit.perSecond) : limit.kind);

/** Tracks all endpoints of one entry. */
export class EndpointTracker {
	private readonly observationsById = new Map<string, EndpointObservations>();

	/** Calls `onChange` when an endpoint accepts more or fewer requests than before. */
	constructor(private readonly now: () => number, private readonly onChange: () => void = () => undefined) {}

	getOrCreate(id: string): EndpointObservations {
		const observations = this.observationsById.get(id) ?? {
			inFlight: 0, awaitingFirstByte: 0, pendingPromptTokens: 0, load: undefined, loadReportedAt: Number.NEGATIVE_INFINITY, startDelayMs: 0, startDelayAt: Number.NEGATIVE_INFINITY, suspectUntil: 0, failures: 0, notListeningUntil: Number.NEGATIVE_INFINITY, lastByteAt: Number.NEGATIVE_INFINITY, busySince: 0, missingModels: new Map<string, number>(), permitAt: 0, announcedLimit: {kind: LimitHeaderKind.Absent}, backoff: new EndpointBackoff(), isReplaced: false, isLeaving: false,
		};
		this.observationsById.set(id, observations);
		return observations;
	}

	/** Counts a request that is sent to an endpoint. */
	beginRequest(id: string, promptTokens: number): EndpointRequest {
		const observations = this.getOrCreate(id);
		let pendingTokens = promptTokens;
		let isOpen = true;
		observations.busySince = observations.inFlight === 0 ? this.now() : observations.busySince;
		observations.inFlight += 1;
		observations.pendingPromptTokens += promptTokens;
		observations.awaitingFirstByte += 1;
		let isAwaitingFirstByte = true;
		const recordFirstByte = (): void => {
			observations.pendingPromptTokens -= pendingTokens;
			observations.awaitingFirstByte -= isAwaitingFirstByte ? 1 : 0;
			isAwaitingFirstByte = false;
			pendingTokens = 0;
		};

		const backoffUse = observations.backoff.beginRequest();
		const notifyIf = (mayTakeMore: boolean): void => {
			if (mayTakeMore) {
				this.onChange();
			}
		};

		const recordResponse = (isAccepted: boolean): void => {
			notifyIf(backoffUse.recordAnswer(isAccepted));
		};

		return {
			recordFirstByte,
			recordResponse,
			end() {
				recordFirstByte();
				observations.inFlight -= isOpen ? 1 : 0;
				isOpen = false;
				notifyIf(backoffUse.finish());
			},
		};
	}

	/** Records the delay of a first byte beyond the time without a queue, ms. */
	recordStartDelay(id: string, delayMs: number): void {
		const observations = this.getOrCreate(id);
		observations.startDelayMs += (Math.max(0, delayMs) - observations.startDelayMs) * delayWeight;
		observations.startDelayAt = this.now();
	}

	recordByte(id: string): void {
		this.getOrCreate(id).lastByteAt = this.now();
	}

	/** Records that an endpoint doesn't hold a model that this revision of it listed. */
	recordMissingModel(id: string, model: string, revision: number): void {
		this.getOrCreate(id).missingModels.set(model, revision);
	}

	/** Records that another endpoint answered at its address. */
	recordReplaced(id: string): void {
		this.getOrCreate(id).isReplaced = true;
	}

	recordLoad(id: string, load: ReportedLoad | undefined): void {
		const observations = this.getOrCreate(id);
		if (load) {
			observations.load = load;
			observations.loadReportedAt = this.now();
		}
	}

	/** Records when a limited endpoint will have the next permit, ms. */
	recordNextPermit(id: string, at: number): void {
		this.getOrCreate(id).permitAt = at;
	}

	/** Records the limit header of a response; returns whether it has changed. */
	recordAnnouncedLimit(id: string, limit: LimitHeader): boolean {
		const observations = this.getOrCreate(id);
		const hasChanged = formatAnnouncedLimit(observations.announcedLimit) !== formatAnnouncedLimit(limit);
		observations.announcedLimit = limit;
		return hasChanged;
	}

	/** Records a refusal with a requested backoff; `random` is in [0, 1). */
	recordBackoff(id: string, delayMs: number, random: number): void {
		this.getOrCreate(id).backoff.recordRefusal(this.now(), delayMs, random);
		this.onChange();
	}

	/** Records that an endpoint announced its leaving; returns whether that is new. */
	recordLeaving(id: string): boolean {
		const observations = this.getOrCreate(id);
		const hasChanged = !observations.isLeaving;
		observations.isLeaving = true;
		if (hasChanged) {
			this.onChange();
		}

		return hasChanged;
	}

	/** Whether a request that was assigned to an endpoint may still be sent. */
	canSend(id: string): boolean {
		const {isLeaving, backoff} = this.getOrCreate(id);
		return !isLeaving && backoff.checkAdmission(this.now()).kind === AdmissionKind.Now;
	}

	recordSuccess(id: string): void {
		const observations = this.getOrCreate(id);
		observations.failures = 0;
		observations.suspectUntil = 0;
	}

	/** Records that no process listens at its address. */
	recordNotListening(id: string): void {
		this.getOrCreate(id).notListeningUntil = this.now() + notListeningMs;
	}

	/**
	 * Whether another process than the recorded incarnation may answer at its address: nobody has listened there, and control has not been heard
	 * since its successor has had time to register. `heardAt` in ms.
	 */
	mayHaveSuccessor(id: string, heardAt: number): boolean {
		return heardAt < this.getOrCreate(id).notListeningUntil;
	}

	/** Records a failure or time-out: others are preferred for a while. */
	recordFailure(id: string): void {
		const observations = this.getOrCreate(id);
		observations.suspectUntil = this.now() + Math.min(maxSuspicionMs, initialSuspicionMs * (2 ** observations.failures));
		observations.failures += 1;
	}

	/** Evicts unknown endpoints without requests in flight. */
	retainOnly(isKnown: (id: string) => boolean): void {
		[...this.observationsById].filter(([id, {inFlight}]) => inFlight === 0 && !isKnown(id)).forEach(([id]) => {
			this.observationsById.delete(id);
		});
	}
}
