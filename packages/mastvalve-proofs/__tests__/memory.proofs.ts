/**
 * Proofs of property 1: accelerator memory is never committed beyond capacity.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {EngineMemory} from 'mastvalve-fakes';
import {
	chooseOrder, defaultLedgerRules, MemoryLedger, type LedgerRules,
} from 'mastvalve-sidecar';
import {
	AssignmentMode, type Assignment, type FencingToken, type Order,
} from 'mastvalve-types';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

enum Kind {
	/** The sidecar gives its next order. */
	Order = 'order',
	/** The engine gets one of the orders under way. */
	Deliver = 'deliver',
	/** An order under way is lost. */
	Lose = 'lose',
	/** An order is delivered and comes again: to an engine that checks tokens at any later time, to another one at once. */
	Repeat = 'repeat',
	/** The sidecar reads the engine's status. */
	Status = 'status',
	/** A load ends. */
	Finish = 'finish',
	/** The configuration asks for other models. */
	Assign = 'assign',
	/** The sidecar is killed and starts anew. */
	Restart = 'restart',
}

const capacity = 10;
const models = ['a', 'b', 'c', 'd', 'e', 'f'];
const sizes = [3, 4, 5, 2, 6, 3];
const sizeOf = (model: string): number => sizes[models.indexOf(model)] ?? capacity;

/** Assignments that fit, as control gives them. */
const chooseAssignments = (pick: number): Assignment[] =>
	models.reduce<Assignment[]>((chosen, _model, index) => {
		const model = models[(index + pick) % models.length] ?? 'a';
		const taken = chosen.reduce((sum, assignment) => sum + sizeOf(assignment.model), 0);
		return taken + sizeOf(model) <= capacity ? [...chosen, {model, mode: AssignmentMode.Resident}] : chosen;
	}, []);

type Options = {
	/** Whether the engine refuses orders with old tokens. */
	engineChecks: boolean;
	/** Whether the ledger takes it that the engine does. */
	ledgerTrustsFence: boolean;
	rules: LedgerRules;
	/** Whether the sidecar is killed now and then. */
	restarts: boolean;
};

/** One sidecar and one engine with orders under way between them. */
class MemoryModel {
	private readonly engine: EngineMemory;
	private ledger: MemoryLedger;
	private readonly underWay: Order[] = [];
	private readonly loads: Array<() => void> = [];
	private token: FencingToken = {term: 1, sequence: 0};
	private assignments = chooseAssignments(0);

	constructor(private readonly options: Options) {
		this.engine = new EngineMemory(capacity, options.engineChecks);
		this.ledger = new MemoryLedger(capacity, options.rules);
	}

	step(kind: Kind, pick: number): void {
		const chosen = pick % Math.max(1, this.underWay.length);
		switch (kind) {
			case Kind.Order: {
				this.giveOrder();
				break;
			}

			case Kind.Deliver: {
				this.underWay.splice(chosen, 1).forEach(order => {
					this.carryOut(order);
				});
				break;
			}

			case Kind.Lose: {
				this.underWay.splice(chosen, 1);
				break;
			}

			case Kind.Repeat: {
				this.repeat(chosen);
				break;
			}

			case Kind.Status: {
				this.readStatus();
				break;
			}

			case Kind.Finish: {
				this.loads.splice(pick % Math.max(1, this.loads.length), 1).forEach(finish => {
					finish();
				});
				break;
			}

			case Kind.Assign: {
				this.assignments = chooseAssignments(pick);
				break;
			}

			case Kind.Restart: {
				this.restart();
			}
		}

		assert.equal(this.engine.violations, 0, `the engine holds ${this.engine.used} of ${capacity}`);
	}

	private nextToken(): FencingToken {
		this.token = {term: this.token.term, sequence: this.token.sequence + 1};
		return this.token;
	}

	private giveOrder(): void {
		const choice = chooseOrder(this.ledger, {
			assignments: this.assignments, sizeOf, waiting: [], draining: undefined, isBusy: () => false, lastUsedAt: () => 0,
		});
		if (choice) {
			const order: Order = {
				...choice, size: sizeOf(choice.model), adapters: [], token: this.nextToken(),
			};
			this.ledger.recordSent(order);
			this.underWay.push(order);
		}
	}

	private carryOut(order: Order): void {
		const {finish} = this.engine.carryOut(order);
		this.loads.push(...(finish ? [finish] : []));
	}

	/**
	 * Nothing can tell a copy that comes arbitrarily late from a new order when nobody checks tokens. Between a sidecar
	 * and its engine one connection carries one order at a time, so a copy can only be the engine's own, at once.
	 */
	private repeat(chosen: number): void {
		const order = this.underWay[chosen];
		if (order) {
			this.carryOut(order);
			this.carryOut(order);
			this.underWay.splice(chosen, this.options.ledgerTrustsFence ? 0 : 1);
		}
	}

	private readStatus(): void {
		const fence = this.nextToken();
		this.engine.raiseFloor(fence);
		this.ledger.setSizes(new Map(models.map(model => [model, sizeOf(model)])));
		this.ledger.applyStatus(structuredClone(this.engine.describe()), this.options.ledgerTrustsFence ? fence : undefined);
	}

	private restart(): void {
		if (this.options.restarts) {
			this.token = {term: this.token.term + 1, sequence: 0};
			this.ledger = new MemoryLedger(capacity, this.options.rules);
		}
	}
}

const stepsArbitrary = fc.array(fc.record({
	kind: fc.oneof(
		{weight: 8, arbitrary: fc.constant(Kind.Order)},
		{weight: 8, arbitrary: fc.constant(Kind.Deliver)},
		{weight: 8, arbitrary: fc.constant(Kind.Status)},
		{weight: 5, arbitrary: fc.constant(Kind.Finish)},
		{weight: 3, arbitrary: fc.constant(Kind.Assign)},
		{weight: 2, arbitrary: fc.constantFrom(Kind.Lose, Kind.Repeat)},
		{weight: 1, arbitrary: fc.constant(Kind.Restart)},
	),
	pick: fc.nat(100),
}), {minLength: 20, maxLength: 150, size: 'max'});

const createMemoryProof = (row: Pick<Proof, 'failure' | 'scenario' | 'twin'>, real: Omit<Options, 'rules'>, broken: Partial<Options>): Proof => ({
	property: Property.Memory,
	...row,
	run: async (variant, run) => checkProperty(stepsArbitrary, steps => {
		const model = new MemoryModel({...real, rules: defaultLedgerRules, ...(variant === Variant.Broken ? broken : {})});
		steps.forEach(({kind, pick}) => {
			model.step(kind, pick);
		});
	}, {...run, variant}),
});

const checked = {engineChecks: true, ledgerTrustsFence: true};

/** The proofs. */
export const memoryProofs: Proof[] = [
	createMemoryProof({
		failure: 'orders lost, late, repeated, reordered',
		scenario: 'an engine that checks tokens is never given more than it holds',
		twin: 'the engine ignores the tokens',
	}, {...checked, restarts: false}, {engineChecks: false}),
	createMemoryProof({
		failure: 'orders lost, late, reordered, and nobody checks who gives them',
		scenario: 'an engine that checks no tokens is never given more than it holds',
		twin: 'the ledger forgets orders that no status has accounted for',
	}, {engineChecks: false, ledgerTrustsFence: false, restarts: false}, {rules: {isStillOpen: () => false}}),
	createMemoryProof({
		failure: 'a sidecar is killed with orders under way',
		scenario: 'its successor knows the engine\'s state and fences late orders',
		twin: 'the engine ignores the tokens',
	}, {...checked, restarts: true}, {engineChecks: false}),
];
