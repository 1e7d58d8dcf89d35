/**
 * What one entry has learned of the endpoints from its own requests. Nothing in it must survive.
 */

import {
	AdmissionKind, EndpointBackoff, LimitHeaderKind, type LimitHeader,
} from 'mastvalve-limits';
import type {ReportedLoad} from '../dialect.js';

/** What is known of one endpoint. */
export type EndpointObservations = {
	/** Own requests there. */
	inFlight: number;
	/** Own requests there that have not had their first byte. */
	awaitingFirstByte: number;
	/** Prompt tokens of own requests there that have not had their first byte. */
	pendingPromptTokens: number;
	load: ReportedLoad | undefined;
	/** When the load was told, ms. */
	loadReportedAt: number;
	/** How much later than without a queue its answers began lately, ms. */
	startDelayMs: number;
	/** When the last of them began, ms. */
	startDelayAt: number;
	/** Others are preferred until then, ms. */
	suspectUntil: number;
	failures: number;
	/** Nobody listened at its address; it gets nothing until then, ms. */
	notListeningUntil: number;
	/** When it last sent a byte of an answer that it has run, ms. */
	lastByteAt: number;
	/** Since when own requests are there without a pause, ms. */
	busySince: number;
	/** Models, with their adapters, that it said it does not hold, and the revision of it that had promised them. */
	missingModels: Map<string, number>;
	/** It had no permit for a request of this entry, and has one then, ms. */
	permitAt: number;
	/** What the last of its answers said of its limit. */
	announcedLimit: LimitHeader;
	/** What its refusals asked for. */
	backoff: EndpointBackoff;
	/** Whether another endpoint was met at its address. */
	isReplaced: boolean;
	/** Whether it said that it is leaving; it doesn't come back under this identity. */
	isLeaving: boolean;
};

/** First time for which others are preferred after a failure, ms; doubles with each failure in a row. */
const initialSuspicionMs = 400;
const maxSuspicionMs = 6000;

/**
 * A process that does not listen has ended, and control notes it within this time by missing heartbeats or the next incarnation's first
 * one, ms. Until then such endpoints would use up the tries of requests at once.
 */
const notListeningMs = 5000;

/** Weight of the newest answer's delay. */
const delayWeight = 0.4;

/** A request that was sent to an endpoint. */
export type EndpointRequest = {
	/** Its prompt has been read. */
	recordFirstByte: () => void;
	/** The head of its answer is here; whether the endpoint took the request. */
	recordResponse: (isTaken: boolean) => void;
	end: () => void;
};

const formatAnnouncedLimit = (word: LimitHeader): string => (word.kind === LimitHeaderKind.Rate ? String(word.perSecond) : word.kind);

/** The board. */
export class EndpointTracker {
	private readonly known = new Map<string, EndpointObservations>();

	/** `onChange` is called when an endpoint takes more or fewer requests than before. */
	constructor(private readonly now: () => number, private readonly onChange: () => void = () => undefined) {}

	getOrCreate(id: string): EndpointObservations {
		const knowledge = this.known.get(id) ?? {
			inFlight: 0, awaitingFirstByte: 0, pendingPromptTokens: 0, load: undefined, loadReportedAt: Number.NEGATIVE_INFINITY, startDelayMs: 0, startDelayAt: Number.NEGATIVE_INFINITY, suspectUntil: 0, failures: 0, notListeningUntil: 0, lastByteAt: Number.NEGATIVE_INFINITY, busySince: 0, missingModels: new Map<string, number>(), permitAt: 0, announcedLimit: {kind: LimitHeaderKind.Absent}, backoff: new EndpointBackoff(), isReplaced: false, isLeaving: false,
		};
		this.known.set(id, knowledge);
		return knowledge;
	}

	/** A request goes there. */
	beginRequest(id: string, promptTokens: number): EndpointRequest {
		const knowledge = this.getOrCreate(id);
		let unread = promptTokens;
		let isOpen = true;
		knowledge.busySince = knowledge.inFlight === 0 ? this.now() : knowledge.busySince;
		knowledge.inFlight += 1;
		knowledge.pendingPromptTokens += promptTokens;
		knowledge.awaitingFirstByte += 1;
		let isUnread = true;
		const read = (): void => {
			knowledge.pendingPromptTokens -= unread;
			knowledge.awaitingFirstByte -= isUnread ? 1 : 0;
			isUnread = false;
			unread = 0;
		};

		const backoffUse = knowledge.backoff.beginRequest();
		const notifyIf = (mayTakeMore: boolean): void => {
			if (mayTakeMore) {
				this.onChange();
			}
		};

		const answer = (isTaken: boolean): void => {
			notifyIf(backoffUse.recordAnswer(isTaken));
		};

		return {
			recordFirstByte: read,
			recordResponse: answer,
			end() {
				read();
				knowledge.inFlight -= isOpen ? 1 : 0;
				isOpen = false;
				notifyIf(backoffUse.finish());
			},
		};
	}

	/** An answer began so much later than without a queue, ms. */
	recordStartDelay(id: string, delayMs: number): void {
		const knowledge = this.getOrCreate(id);
		knowledge.startDelayMs += (Math.max(0, delayMs) - knowledge.startDelayMs) * delayWeight;
		knowledge.startDelayAt = this.now();
	}

	/** A byte came. */
	recordByte(id: string): void {
		this.getOrCreate(id).lastByteAt = this.now();
	}

	/** It said that it does not hold a model which that revision of it had promised. */
	recordMissingModel(id: string, model: string, revision: number): void {
		this.getOrCreate(id).missingModels.set(model, revision);
	}

	/** Another endpoint is at its address. */
	recordReplaced(id: string): void {
		this.getOrCreate(id).isReplaced = true;
	}

	recordLoad(id: string, load: ReportedLoad | undefined): void {
		const knowledge = this.getOrCreate(id);
		if (load) {
			knowledge.load = load;
			knowledge.loadReportedAt = this.now();
		}
	}

	/** It has named a limit, and has a permit again at this moment, ms. */
	recordNextPermit(id: string, at: number): void {
		this.getOrCreate(id).permitAt = at;
	}

	/** An answer said something of its limit; whether that is news. */
	recordAnnouncedLimit(id: string, word: LimitHeader): boolean {
		const knowledge = this.getOrCreate(id);
		const isNews = formatAnnouncedLimit(knowledge.announcedLimit) !== formatAnnouncedLimit(word);
		knowledge.announcedLimit = word;
		return isNews;
	}

	/** It refused a request and asked this entry to back off; `random` is in [0, 1). */
	recordBackoff(id: string, delayMs: number, random: number): void {
		this.getOrCreate(id).backoff.recordRefusal(this.now(), delayMs, random);
		this.onChange();
	}

	/** An answer said that it is leaving; whether that is news. */
	recordLeaving(id: string): boolean {
		const knowledge = this.getOrCreate(id);
		const isNews = !knowledge.isLeaving;
		knowledge.isLeaving = true;
		if (isNews) {
			this.onChange();
		}

		return isNews;
	}

	/** Whether a request that was to go there may still be sent. */
	canSend(id: string): boolean {
		const {isLeaving, backoff} = this.getOrCreate(id);
		return !isLeaving && backoff.checkAdmission(this.now()).kind === AdmissionKind.Now;
	}

	recordSuccess(id: string): void {
		const knowledge = this.getOrCreate(id);
		knowledge.failures = 0;
		knowledge.suspectUntil = 0;
	}

	/** Nobody listens at its address. */
	recordNotListening(id: string): void {
		this.getOrCreate(id).notListeningUntil = this.now() + notListeningMs;
	}

	/** It failed or did not answer: for a while others are tried first. */
	recordFailure(id: string): void {
		const knowledge = this.getOrCreate(id);
		knowledge.suspectUntil = this.now() + Math.min(maxSuspicionMs, initialSuspicionMs * (2 ** knowledge.failures));
		knowledge.failures += 1;
	}

	/** Forgets endpoints without requests. */
	retainOnly(isKnown: (id: string) => boolean): void {
		[...this.known].filter(([id, {inFlight}]) => inFlight === 0 && !isKnown(id)).forEach(([id]) => {
			this.known.delete(id);
		});
	}
}
