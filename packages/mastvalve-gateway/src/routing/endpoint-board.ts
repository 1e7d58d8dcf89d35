/**
 * What one entry has learned of the endpoints from its own requests. Nothing in it must survive.
 */

import {
	AdmissionKind, EndpointBackoff, LimitHeaderKind, type LimitHeader,
} from 'mastvalve-limits';
import type {ReportedLoad} from '../dialect.js';

/** What is known of one endpoint. */
export type EndpointKnowledge = {
	/** Own requests there. */
	inFlight: number;
	/** Own requests there that have not had their first byte. */
	unread: number;
	/** Prompt tokens of own requests there that have not had their first byte. */
	unreadTokens: number;
	load: ReportedLoad | undefined;
	/** When the load was told, ms. */
	loadAt: number;
	/** How much later than without a queue its answers began lately, ms. */
	delay: number;
	/** When the last of them began, ms. */
	delayAt: number;
	/** Others are preferred until then, ms. */
	suspectUntil: number;
	failures: number;
	/** Nobody listened at its address; it gets nothing until then, ms. */
	absentUntil: number;
	/** When it last sent a byte of an answer that it has run, ms. */
	heardAt: number;
	/** Since when own requests are there without a pause, ms. */
	busySince: number;
	/** Models, with their adapters, that it said it does not hold, and the revision of it that had promised them. */
	lacks: Map<string, number>;
	/** It had no permit for a request of this entry, and has one then, ms. */
	permitAt: number;
	/** What the last of its answers said of its limit. */
	limitWord: LimitHeader;
	/** What its refusals asked for. */
	backoff: EndpointBackoff;
	/** Whether another endpoint was met at its address. */
	isReplaced: boolean;
	/** Whether it said that it is leaving; it doesn't come back under this identity. */
	isLeaving: boolean;
};

/** First time for which others are preferred after a failure, ms; doubles with each failure in a row. */
const firstSuspicionMs = 400;
const maxSuspicionMs = 6000;

/**
 * A process that does not listen has ended, and control notes it within this time by missing heartbeats or the next incarnation's first
 * one, ms. Until then such endpoints would use up the tries of requests at once.
 */
const absentMs = 5000;

/** Weight of the newest answer's delay. */
const delayWeight = 0.4;

/** A request that was sent to an endpoint. */
export type EndpointUse = {
	/** Its prompt has been read. */
	read: () => void;
	/** The head of its answer is here; whether the endpoint took the request. */
	answer: (isTaken: boolean) => void;
	end: () => void;
};

const describeWord = (word: LimitHeader): string => (word.kind === LimitHeaderKind.Rate ? String(word.perSecond) : word.kind);

/** The board. */
export class EndpointBoard {
	private readonly known = new Map<string, EndpointKnowledge>();

	/** `onChange` is called when an endpoint takes more or fewer requests than before. */
	constructor(private readonly now: () => number, private readonly onChange: () => void = () => undefined) {}

	find(id: string): EndpointKnowledge {
		const knowledge = this.known.get(id) ?? {
			inFlight: 0, unread: 0, unreadTokens: 0, load: undefined, loadAt: Number.NEGATIVE_INFINITY, delay: 0, delayAt: Number.NEGATIVE_INFINITY, suspectUntil: 0, failures: 0, absentUntil: 0, heardAt: Number.NEGATIVE_INFINITY, busySince: 0, lacks: new Map<string, number>(), permitAt: 0, limitWord: {kind: LimitHeaderKind.Absent}, backoff: new EndpointBackoff(), isReplaced: false, isLeaving: false,
		};
		this.known.set(id, knowledge);
		return knowledge;
	}

	/** A request goes there. */
	begin(id: string, promptTokens: number): EndpointUse {
		const knowledge = this.find(id);
		let unread = promptTokens;
		let isOpen = true;
		knowledge.busySince = knowledge.inFlight === 0 ? this.now() : knowledge.busySince;
		knowledge.inFlight += 1;
		knowledge.unreadTokens += promptTokens;
		knowledge.unread += 1;
		let isUnread = true;
		const read = (): void => {
			knowledge.unreadTokens -= unread;
			knowledge.unread -= isUnread ? 1 : 0;
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
			read,
			answer,
			end() {
				read();
				knowledge.inFlight -= isOpen ? 1 : 0;
				isOpen = false;
				notifyIf(backoffUse.finish());
			},
		};
	}

	/** An answer began so much later than without a queue, ms. */
	recordDelay(id: string, delayMs: number): void {
		const knowledge = this.find(id);
		knowledge.delay += (Math.max(0, delayMs) - knowledge.delay) * delayWeight;
		knowledge.delayAt = this.now();
	}

	/** A byte came. */
	recordByte(id: string): void {
		this.find(id).heardAt = this.now();
	}

	/** It said that it does not hold a model which that revision of it had promised. */
	recordLack(id: string, model: string, revision: number): void {
		this.find(id).lacks.set(model, revision);
	}

	/** Another endpoint is at its address. */
	recordReplaced(id: string): void {
		this.find(id).isReplaced = true;
	}

	recordLoad(id: string, load: ReportedLoad | undefined): void {
		const knowledge = this.find(id);
		if (load) {
			knowledge.load = load;
			knowledge.loadAt = this.now();
		}
	}

	/** It has named a limit, and has a permit again at this moment, ms. */
	recordPermit(id: string, at: number): void {
		this.find(id).permitAt = at;
	}

	/** An answer said something of its limit; whether that is news. */
	recordLimitWord(id: string, word: LimitHeader): boolean {
		const knowledge = this.find(id);
		const isNews = describeWord(knowledge.limitWord) !== describeWord(word);
		knowledge.limitWord = word;
		return isNews;
	}

	/** It refused a request and asked this entry to back off; `random` is in [0, 1). */
	recordBackoff(id: string, delayMs: number, random: number): void {
		this.find(id).backoff.recordRefusal(this.now(), delayMs, random);
		this.onChange();
	}

	/** An answer said that it is leaving; whether that is news. */
	recordLeaving(id: string): boolean {
		const knowledge = this.find(id);
		const isNews = !knowledge.isLeaving;
		knowledge.isLeaving = true;
		if (isNews) {
			this.onChange();
		}

		return isNews;
	}

	/** Whether a request that was to go there may still be sent. */
	admits(id: string): boolean {
		const {isLeaving, backoff} = this.find(id);
		return !isLeaving && backoff.checkAdmission(this.now()).kind === AdmissionKind.Now;
	}

	recordSuccess(id: string): void {
		const knowledge = this.find(id);
		knowledge.failures = 0;
		knowledge.suspectUntil = 0;
	}

	/** Nobody listens at its address. */
	recordAbsent(id: string): void {
		this.find(id).absentUntil = this.now() + absentMs;
	}

	/** It failed or did not answer: for a while others are tried first. */
	recordFailure(id: string): void {
		const knowledge = this.find(id);
		knowledge.suspectUntil = this.now() + Math.min(maxSuspicionMs, firstSuspicionMs * (2 ** knowledge.failures));
		knowledge.failures += 1;
	}

	/** Forgets endpoints without requests. */
	keepOnly(isKnown: (id: string) => boolean): void {
		[...this.known].filter(([id, {inFlight}]) => inFlight === 0 && !isKnown(id)).forEach(([id]) => {
			this.known.delete(id);
		});
	}
}
