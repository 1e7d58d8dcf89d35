/**
 * Admission control of one endpoint: decides which requests run, are queued or are refused on arrival.
 *
 * All requests of the endpoint pass through its one queue, so the counts are exact. A request that can't start before its deadline is
 * refused on arrival, with the estimated time until the queue has drained; a queued request is removed once its deadline has passed.
 * Requests are ordered by priority, then by earliest deadline. The priority rises by one level per `agingMs` in the queue, so that no
 * priority starves.
 */

import {prioritiesByUrgency, type Priority} from 'mastvalve-types';
import {minBy} from 'mastvalve-utils';

/** A request for admission. Times are monotonic, ms. */
export type AdmissionRequest = {
	id: string;
	priority: Priority;
	arrivedAt: number;
	deadlineAt: number;
	/** Required model; undefined for plain services. */
	model: string | undefined;
};

export enum AdmissionDecision {
	Admitted = 'admitted',
	Queued = 'queued',
	Refused = 'refused',
}

export type AdmissionResult = {
	decision: AdmissionDecision;
	/** Delay before a retry may succeed, ms; 0 unless refused. */
	retryAfterMs: number;
	/** A less urgent queued request that was removed in favor of this one; its caller is to be refused. */
	displaced?: AdmissionRequest;
};

export type AdmissionLimits = {
	maxRunning: number;
	maxQueued: number;
	/** Time in the queue that raises a request by one priority level, ms. */
	agingMs: number;
	/** Estimate of the service time until a request has finished, ms. */
	initialServiceMs: number;
};

/** Weight of a new sample in the moving average of the service time. */
const serviceTimeSmoothing = 0.1;
const minRetryAfterMs = 100;

export class AdmissionQueue {
	private queued: AdmissionRequest[] = [];
	private readonly running = new Map<string, number>();
	private serviceMs: number;

	constructor(private readonly limits: AdmissionLimits) {
		this.serviceMs = limits.initialServiceMs;
	}

	get runningCount(): number {
		return this.running.size;
	}

	get queuedCount(): number {
		return this.queued.length;
	}

	/** Estimates the time until a request with `ahead` requests in front of it starts, ms. */
	estimateWaitMs(ahead: number): number {
		const free = this.limits.maxRunning - this.running.size;
		return ahead < free ? 0 : (Math.max(1, ahead - free + 1) * this.serviceMs) / this.limits.maxRunning;
	}

	/** Admits, queues or refuses an arriving request; `isReady` is whether its model can run now. */
	offer(request: AdmissionRequest, now: number, isReady: boolean): AdmissionResult {
		if (isReady && this.queued.length === 0 && this.running.size < this.limits.maxRunning) {
			this.running.set(request.id, now);
			return {decision: AdmissionDecision.Admitted, retryAfterMs: 0};
		}

		const ahead = this.queued.filter(other => this.computeRank(other, now) <= this.computeRank(request, now)).length;
		const waitMs = this.estimateWaitMs(ahead);
		if (now + waitMs > request.deadlineAt) {
			return this.refuse(waitMs);
		}

		if (this.queued.length < this.limits.maxQueued) {
			this.queued.push(request);
			return {decision: AdmissionDecision.Queued, retryAfterMs: 0};
		}

		return this.displace(request, now);
	}

	/** Starts queued requests whose model is ready, up to `maxRunning`, and returns them. */
	dequeueReady(now: number, isReady: (model: string | undefined) => boolean): AdmissionRequest[] {
		const started: AdmissionRequest[] = [];
		while (this.running.size < this.limits.maxRunning) {
			const next = minBy(this.queued.filter(request => isReady(request.model)), request => this.computeOrder(request, now));
			if (!next) {
				break;
			}

			this.remove(next.id);
			this.running.set(next.id, now);
			started.push(next);
		}

		return started;
	}

	/** Removes and returns the queued requests whose deadline has passed. */
	removeExpired(now: number): AdmissionRequest[] {
		const expired = this.queued.filter(request => request.deadlineAt <= now);
		this.queued = this.queued.filter(request => request.deadlineAt > now);
		return expired;
	}

	/** Removes a queued request, e.g. after its caller disconnected; returns false when it wasn't queued. */
	remove(id: string): boolean {
		const before = this.queued.length;
		this.queued = this.queued.filter(request => request.id !== id);
		return this.queued.length < before;
	}

	/** Records the end of a running request and updates the estimated service time. */
	finish(id: string, now: number): void {
		const startedAt = this.running.get(id);
		if (startedAt !== undefined) {
			this.running.delete(id);
			this.serviceMs += serviceTimeSmoothing * (now - startedAt - this.serviceMs);
		}
	}

	/** Estimates the time until the queue has drained, for the `Retry-After` of a refusal, ms. */
	estimateRetryAfterMs(): number {
		return Math.max(minRetryAfterMs, this.estimateWaitMs(this.queued.length));
	}

	/** Lists the models that queued requests require. */
	listWaitingModels(): string[] {
		return [...new Set(this.queued.map(request => request.model).filter(model => model !== undefined))];
	}

	private refuse(waitMs: number): AdmissionResult {
		return {decision: AdmissionDecision.Refused, retryAfterMs: Math.max(minRetryAfterMs, waitMs)};
	}

	/** Queues a request in a full queue by removing the least urgent one; refuses it if that one is at least as urgent. */
	private displace(request: AdmissionRequest, now: number): AdmissionResult {
		const least = minBy(this.queued, other => -this.computeOrder(other, now));
		if (!least || this.computeOrder(least, now) <= this.computeOrder(request, now)) {
			return this.refuse(this.estimateWaitMs(this.queued.length));
		}

		this.remove(least.id);
		this.queued.push(request);
		return {decision: AdmissionDecision.Queued, retryAfterMs: 0, displaced: least};
	}

	/** Returns the priority level after aging; lower is more urgent. */
	private computeRank(request: AdmissionRequest, now: number): number {
		const promotions = Math.floor((now - request.arrivedAt) / this.limits.agingMs);
		return Math.max(0, prioritiesByUrgency.indexOf(request.priority) - promotions);
	}

	/** Returns the sort key: priority level first, then deadline. */
	private computeOrder(request: AdmissionRequest, now: number): number {
		return (this.computeRank(request, now) * rankWeightMs) + (request.deadlineAt - now);
	}
}

/** Weight of one priority level in the sort key; exceeds any remaining time, ms. */
const rankWeightMs = 1e9;
