/**
 * Queues claims at the leader while all suitable engines have enough prompts to read. The first engine with free capacity is assigned
 * the first claim of the queue.
 *
 * A claim waits no longer than its caller. One that can't be served in time behind the claims before it is refused at once, so that
 * its caller can retry elsewhere; `retryAfterMs` is the time by which it would have missed its deadline.
 */

import {minBy} from 'mastvalve-utils';
import {ageClaim, type DispatchClaim} from './dispatch-claim.js';
import {DispatchDecisionKind, type DispatchDecision} from './dispatch-decision.js';
import {DispatchQueue} from './dispatch-queue.js';
import {ReadingBacklog, isInterruptionAcceptable} from './reading-backlog.js';
import {estimateAssignmentCost, type AssignmentInput} from './estimate-cost.js';
import {formatShareKey} from './fair-shares.js';
import {formatModelKey} from './prompt-cache.js';
import {QueueForecast} from './queue-forecast.js';
import {isExpired, type WaitingClaim} from './waiting-claim.js';

/** What late binding needs of the dispatcher. */
export type LateBindingOptions = {
	/** Describes the engines that can serve a claim. */
	describe: (claim: DispatchClaim, now: number) => readonly AssignmentInput[];
	/** Assigns a claim to one of them. */
	assign: (waiting: Pick<WaitingClaim, 'entry' | 'claim'>, input: AssignmentInput, now: number) => DispatchDecision;
};

/** Interval at which the queue is scanned without an event that frees capacity, ms: the expected backlog of engines shrinks with time. */
const scanIntervalMs = 10;
/** Interval at which claims that can't be served in time are refused, ms. */
const forecastIntervalMs = 100;

/** Returns the healthy engines, or all of them if none is healthy. */
const listSuitable = (inputs: readonly AssignmentInput[]): readonly AssignmentInput[] => {
	const healthy = inputs.filter(({isSuspect, candidate}) => !isSuspect && !candidate.isSilent);
	return healthy.length > 0 ? healthy : inputs;
};

const formatEngineKey = (claim: DispatchClaim): string => `${claim.service}\n${formatModelKey(claim)}\n${claim.excluded.join('\n')}`;

/** Times are monotonic, ms. */
export class LateBinding {
	private readonly queue = new DispatchQueue();
	private readonly backlog = new ReadingBacklog();
	private readonly decisions = new Map<string, DispatchDecision[]>();
	private hasFreedCapacity = false;
	private scannedAt = Number.NEGATIVE_INFINITY;
	private forecastAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: LateBindingOptions) {}

	get waitingCount(): number {
		return this.queue.size;
	}

	/** Decides a claim, or lets it wait. */
	claim(entry: string, claim: DispatchClaim, now: number): DispatchDecision {
		if (this.queue.has(claim.id)) {
			return {id: claim.id, kind: DispatchDecisionKind.Queued};
		}

		this.backlog.recordObjectives(claim);
		const inputs = this.options.describe(claim, now);
		if (inputs.length === 0) {
			return {id: claim.id, kind: DispatchDecisionKind.NoHolder};
		}

		const readMs = Math.min(...inputs.map(input => input.readMs));
		if (readMs > claim.remainingMs) {
			return {id: claim.id, kind: DispatchDecisionKind.Refused, retryAfterMs: Math.ceil(readMs - claim.remainingMs)};
		}

		const best = this.choose(claim, inputs, now);
		if (best && !this.queue.hasAhead(claim.urgency)) {
			return this.options.assign({entry, claim}, best, now);
		}

		this.queue.add({
			claim, entry, queuedAt: now, readMs, engineKey: formatEngineKey(claim), shareKey: formatShareKey(claim),
		});
		this.hasFreedCapacity ||= best !== undefined;
		return {id: claim.id, kind: DispatchDecisionKind.Queued};
	}

	/** Records that an engine may have capacity again. */
	recordFreedCapacity(): void {
		this.hasFreedCapacity = true;
	}

	/** Drops a claim whose caller has left. */
	cancel(id: string): void {
		this.queue.remove(id);
	}

	/** Returns the decisions on waiting claims of an entry since its last call. */
	takeDecisions(entry: string, now: number): DispatchDecision[] {
		if (this.queue.size > 0 && (this.hasFreedCapacity || now - this.scannedAt >= scanIntervalMs)) {
			this.scan(now);
		}

		const taken = this.decisions.get(entry) ?? [];
		this.decisions.delete(entry);
		return taken;
	}

	/** Drops what waits for entries that no longer call. */
	dropEntries(isSilent: (entry: string) => boolean): void {
		this.queue.dropEntries(isSilent);
		[...this.decisions.keys()].filter(entry => isSilent(entry)).forEach(entry => {
			this.decisions.delete(entry);
		});
	}

	private scan(now: number): void {
		this.hasFreedCapacity = false;
		this.scannedAt = now;
		/** Engines of claims that no engine can take at present, by engine key. */
		const busy = new Map<string, readonly AssignmentInput[]>();
		const remaining = this.queue.list(now).filter(waiting => isExpired(waiting, now) || busy.has(waiting.engineKey) || !this.tryAssign(waiting, busy, now));
		if (now - this.forecastAt >= forecastIntervalMs || remaining.some(waiting => isExpired(waiting, now))) {
			this.refuseUnservable(remaining, busy, now);
		}
	}

	/** Assigns a claim if an engine has capacity, otherwise records its engines as busy; returns whether the claim was decided. */
	private tryAssign(waiting: WaitingClaim, busy: Map<string, readonly AssignmentInput[]>, now: number): boolean {
		const inputs = this.options.describe(waiting.claim, now);
		if (inputs.length === 0) {
			this.queue.remove(waiting.claim.id);
			this.decide(waiting, {id: waiting.claim.id, kind: DispatchDecisionKind.NoHolder});
			return true;
		}

		const claim = ageClaim(waiting.claim, now - waiting.queuedAt);
		const best = this.choose(claim, inputs, now);
		if (best) {
			this.queue.serve(waiting);
			this.decide(waiting, this.options.assign({entry: waiting.entry, claim}, best, now));
			return true;
		}

		const suitable = listSuitable(inputs);
		if (!suitable.some(input => this.backlog.allows(claim, input))) {
			busy.set(waiting.engineKey, suitable);
		}

		return false;
	}

	/** Refuses the claims that would not be served in time. */
	private refuseUnservable(remaining: readonly WaitingClaim[], busy: ReadonlyMap<string, readonly AssignmentInput[]>, now: number): void {
		this.forecastAt = now;
		const forecast = new QueueForecast(now);
		remaining.forEach(waiting => {
			const missMs = forecast.add(waiting, busy.get(waiting.engineKey) ?? listSuitable(this.options.describe(waiting.claim, now)));
			if (missMs > 0) {
				this.queue.remove(waiting.claim.id);
				this.refuse(waiting, missMs);
			}
		});
	}

	private choose(claim: DispatchClaim, inputs: readonly AssignmentInput[], now: number): AssignmentInput | undefined {
		return minBy(listSuitable(inputs).filter(input => this.backlog.allows(claim, input) && isInterruptionAcceptable(claim, input)), input => estimateAssignmentCost(claim, input, now));
	}

	private refuse(waiting: WaitingClaim, retryAfterMs: number): void {
		this.decide(waiting, {id: waiting.claim.id, kind: DispatchDecisionKind.Refused, retryAfterMs: Math.ceil(retryAfterMs)});
	}

	private decide({entry}: WaitingClaim, decision: DispatchDecision): void {
		this.decisions.set(entry, [...(this.decisions.get(entry) ?? []), decision]);
	}
}
