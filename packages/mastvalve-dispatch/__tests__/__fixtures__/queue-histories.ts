/**
 * Random histories of a queue, and queues with one decision broken that they must catch.
 */

import fc from 'fast-check';
import {assumeType} from 'mastvalve-utils';
import {
	Dispatcher, DispatchDecisionKind, RunEventKind, type DispatchClaim, type DispatchDecision,
} from '../../src/index.js';
import type {WaitingClaim} from '../../src/waiting-claim.js';
import {createClaim} from './workloads.js';

type Step = {claim: Partial<DispatchClaim> & {model: string}; ended: number; afterMs: number};

/** The parts of a dispatcher that twins break. */
type Internals = {lateBinding: {
	choose: (claim: DispatchClaim, inputs: unknown[], now: number) => unknown;
	scan: (now: number) => void;
	queue: {list: (now: number) => WaitingClaim[]};
};};

const models: Readonly<Record<string, string[]>> = {A: ['m', 'n'], B: ['n', 'o'], C: ['o', 'm']};

export const twins: Readonly<Record<string, (internals: Internals['lateBinding']) => void>> = {
	'waits for the cheapest engine'(late) {
		const choose = late.choose.bind(late);
		late.choose = (claim, inputs, now) => choose(claim, inputs.slice(0, 1), now);
	},
	'looks at the first claim only'(late) {
		const list = late.queue.list.bind(late.queue);
		late.queue.list = now => list(now).slice(0, 1);
	},
	'takes no notice of freed capacity'(late) {
		late.scan = () => undefined;
	},
};

const steps = fc.array(fc.record({
	claim: fc.record({
		model: fc.constantFrom('m', 'n', 'o'),
		urgency: fc.nat(2),
		workspace: fc.constantFrom('x', 'y'),
		promptTokens: fc.integer({min: 100, max: 30_000}),
		excluded: fc.subarray(['A'], {maxLength: 1}),
	}),
	ended: fc.nat(4),
	afterMs: fc.integer({min: 10, max: 200}),
}), {minLength: 5, maxLength: 40});

class History {
	private readonly waiting = new Map<string, DispatchClaim>();
	private readonly running = new Map<string, string>();
	private now = 0;
	private readonly dispatcher = new Dispatcher({
		listHolders: ({model}) => Object.keys(models).filter(id => models[id]!.includes(model)).map(id => ({
			id, isSilent: false, slots: 8, tokenCapacity: 167_000,
		})),
		isKnown: () => true,
		hasQueue: true,
	});

	constructor(twin: string | undefined) {
		if (twin !== undefined) {
			twins[twin]!(assumeType<Internals>(this.dispatcher).lateBinding);
		}
	}

	/** Plays a step; returns whether an engine is idle afterwards while a claim that it could serve waits. */
	play({claim, ended, afterMs}: Step, index: number): boolean {
		this.now += afterMs;
		const whole = createClaim({id: String(index), remainingMs: 100_000, ...claim});
		this.waiting.set(whole.id, whole);
		this.apply(this.dispatcher.claim('entry', whole, this.now));
		[...this.running.keys()].slice(0, ended).forEach(id => {
			this.dispatcher.record({id, kind: RunEventKind.FirstByte, ageMs: 1}, this.now);
			this.dispatcher.record({id, kind: RunEventKind.Completed, ageMs: 0}, this.now);
			this.running.delete(id);
		});
		this.dispatcher.takeDecisions('entry', this.now).forEach(decision => {
			this.apply(decision);
		});
		const idle = Object.keys(models).filter(id => ![...this.running.values()].includes(id));
		return [...this.waiting.values()].some(({model, excluded}) => idle.some(id => models[id]!.includes(model) && !excluded.includes(id)));
	}

	private apply(decision: DispatchDecision): void {
		if (decision.kind !== DispatchDecisionKind.Queued) {
			this.waiting.delete(decision.id);
		}

		if (decision.kind === DispatchDecisionKind.Assigned) {
			this.running.set(decision.id, decision.endpoint);
		}
	}
}

/** Checks that no engine is idle while a request that it could serve waits. */
export const checkWorkConservation = (runs: number, twin?: string): {failed: boolean; counterexample: unknown} => fc.check(fc.property(steps, history => {
	const played = new History(twin);
	return !history.some((step, index) => played.play(step, index));
}), {numRuns: runs, seed: 1});
