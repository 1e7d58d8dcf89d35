/**
 * Admission to one endpoint: how many run, who waits, who is refused at once.
 *
 * It is the only place that counts an endpoint's requests, so its count is exact. A request that can't start before
 * its deadline is refused on arrival, with the time at which the queue will have drained; one whose deadline passes
 * while it waits is given up at that moment. Within a class the earliest deadline goes first, and waiting lifts a
 * request by a class after `agingMs`, so that no class starves.
 */

import {prioritiesByUrgency, type Priority} from 'mastvalve-types';
import {minBy} from 'mastvalve-utils';

/** A request that asks to be admitted. Times are monotonic ms. */
export type AdmissionRequest = {
	id: string;
	priority: Priority;
	arrivedAt: number;
	deadlineAt: number;
	/** The model that it needs; undefined for plain services. */
	model: string | undefined;
};

/** What is decided on arrival. */
export enum AdmissionDecision {
	Admitted = 'admitted',
	Queued = 'queued',
	Refused = 'refused',
}

/** The answer to an arrival. */
export type AdmissionAnswer = {
	decision: AdmissionDecision;
	/** When asking again may help, ms; for a refusal. */
	retryAfterMs: number;
	/** A less urgent request that had to give way and is refused. */
	displaced?: AdmissionRequest;
};

/** Limits of a queue. */
export type AdmissionLimits = {
	maxRunning: number;
	maxQueued: number;
	/** Waiting for this long lifts a request by one class, ms. */
	agingMs: number;
	/** Service time assumed before any was seen, ms. */
	initialServiceMs: number;
};

const serviceTimeWeight = 0.1;
const minRetryAfterMs = 100;

/** The queue of one endpoint. */
export class AdmissionQueue {
	private waiting: AdmissionRequest[] = [];
	private readonly running = new Map<string, number>();
	private serviceMs: number;

	constructor(private readonly limits: AdmissionLimits) {
		this.serviceMs = limits.initialServiceMs;
	}

	get runningCount(): number {
		return this.running.size;
	}

	get queuedCount(): number {
		return this.waiting.length;
	}

	/** Time until a request behind `ahead` others would start, ms. */
	estimateWait(ahead: number): number {
		const free = this.limits.maxRunning - this.running.size;
		return ahead < free ? 0 : (Math.max(1, ahead - free + 1) * this.serviceMs) / this.limits.maxRunning;
	}

	/** A request arrives; `isReady` tells whether its model can run now. */
	offer(request: AdmissionRequest, now: number, isReady: boolean): AdmissionAnswer {
		if (isReady && this.waiting.length === 0 && this.running.size < this.limits.maxRunning) {
			this.running.set(request.id, now);
			return {decision: AdmissionDecision.Admitted, retryAfterMs: 0};
		}

		const ahead = this.waiting.filter(other => this.rank(other, now) <= this.rank(request, now)).length;
		const wait = this.estimateWait(ahead);
		if (now + wait > request.deadlineAt) {
			return this.refuse(wait);
		}

		if (this.waiting.length < this.limits.maxQueued) {
			this.waiting.push(request);
			return {decision: AdmissionDecision.Queued, retryAfterMs: 0};
		}

		return this.displace(request, now);
	}

	/** Starts waiting requests for which there is room and whose model is ready. */
	takeReady(now: number, isReady: (model: string | undefined) => boolean): AdmissionRequest[] {
		const started: AdmissionRequest[] = [];
		while (this.running.size < this.limits.maxRunning) {
			const next = minBy(this.waiting.filter(request => isReady(request.model)), request => this.order(request, now));
			if (!next) {
				break;
			}

			this.remove(next.id);
			this.running.set(next.id, now);
			started.push(next);
		}

		return started;
	}

	/** Takes out the waiting requests whose deadline has passed. */
	takeExpired(now: number): AdmissionRequest[] {
		const expired = this.waiting.filter(request => request.deadlineAt <= now);
		this.waiting = this.waiting.filter(request => request.deadlineAt > now);
		return expired;
	}

	/** Takes out a waiting request whose caller hung up; false when it wasn't waiting. */
	remove(id: string): boolean {
		const before = this.waiting.length;
		this.waiting = this.waiting.filter(request => request.id !== id);
		return this.waiting.length < before;
	}

	/** A running request has ended. */
	finish(id: string, now: number): void {
		const startedAt = this.running.get(id);
		if (startedAt !== undefined) {
			this.running.delete(id);
			this.serviceMs += serviceTimeWeight * (now - startedAt - this.serviceMs);
		}
	}

	/** When the queue will have drained, for a refusal, ms. */
	estimateRetryAfter(): number {
		return Math.max(minRetryAfterMs, this.estimateWait(this.waiting.length));
	}

	/** Models for which requests wait. */
	listWaitingModels(): string[] {
		return [...new Set(this.waiting.map(request => request.model).filter(model => model !== undefined))];
	}

	private refuse(wait: number): AdmissionAnswer {
		return {decision: AdmissionDecision.Refused, retryAfterMs: Math.max(minRetryAfterMs, wait)};
	}

	/** The queue is full: the least urgent gives way if it is less urgent than the newcomer. */
	private displace(request: AdmissionRequest, now: number): AdmissionAnswer {
		const least = minBy(this.waiting, other => -this.order(other, now));
		if (!least || this.order(least, now) <= this.order(request, now)) {
			return this.refuse(this.estimateWait(this.waiting.length));
		}

		this.remove(least.id);
		this.waiting.push(request);
		return {decision: AdmissionDecision.Queued, retryAfterMs: 0, displaced: least};
	}

	/** Class after aging; lower is more urgent. */
	private rank(request: AdmissionRequest, now: number): number {
		const lifted = Math.floor((now - request.arrivedAt) / this.limits.agingMs);
		return Math.max(0, prioritiesByUrgency.indexOf(request.priority) - lifted);
	}

	/** Class first, then deadline. */
	private order(request: AdmissionRequest, now: number): number {
		return (this.rank(request, now) * classSpan) + (request.deadlineAt - now);
	}
}

/** Larger than any deadline, ms. */
const classSpan = 1e9;
