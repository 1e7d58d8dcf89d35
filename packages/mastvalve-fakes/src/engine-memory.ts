/**
 * The accelerator memory of a stand-in engine: what is loaded, what is being loaded, and which orders were handled.
 */

import {OrderKind, type FencingToken, type Order} from 'mastvalve-types';
import {sumOf} from 'mastvalve-utils';

/** Handled orders that are remembered. */
const maxHandled = 256;

type Held = {size: number; isLoaded: boolean; adapters: string[]};

const isAtMost = (a: FencingToken, b: FencingToken): boolean => a.term < b.term || (a.term === b.term && a.sequence <= b.sequence);

/** The memory. It does what it is told, beyond its capacity too, and counts how often that happened. */
export class EngineMemory {
	/** Times that the orders put more into the memory than there is. */
	violations = 0;
	/** Loads and unloads carried out. */
	moves = 0;
	private readonly held = new Map<string, Held>();
	private floor: FencingToken = {term: 0, sequence: 0};
	private handled: FencingToken[] = [];

	constructor(readonly capacity: number, private readonly fenced: boolean) {}

	get used(): number {
		return sumOf([...this.held.values()], held => held.size);
	}

	/** The model that serves a name, if it is loaded. */
	findLoaded(name: string): string | undefined {
		return [...this.held].find(([model, held]) => held.isLoaded && (model === name || held.adapters.includes(name)))?.[0];
	}

	/** Refuses orders up to this token from now on, if it checks tokens. */
	raiseFloor(token: FencingToken): void {
		if (this.fenced && isAtMost(this.floor, token)) {
			this.floor = token;
		}
	}

	/** Carries an order out; for a load, `finish` must be called when it is done. */
	carryOut(order: Order): {isAccepted: boolean; finish?: () => void} {
		this.handled = [...this.handled, order.token].slice(-maxHandled);
		if (this.fenced && isAtMost(order.token, this.floor)) {
			return {isAccepted: false};
		}

		this.raiseFloor(order.token);
		return order.kind === OrderKind.Load ? this.load(order) : this.unload(order);
	}

	describe(): {loaded: string[]; loading: string[]; capacity: number; handled: FencingToken[]} {
		const names = (isLoaded: boolean): string[] => [...this.held].filter(([, held]) => held.isLoaded === isLoaded).map(([model]) => model);
		return {
			loaded: names(true), loading: names(false), capacity: this.capacity, handled: this.handled,
		};
	}

	private load(order: Order): {isAccepted: boolean; finish?: () => void} {
		if (this.held.has(order.model)) {
			return {isAccepted: true};
		}

		const held: Held = {size: order.size, isLoaded: false, adapters: order.adapters};
		this.held.set(order.model, held);
		this.moves += 1;
		this.violations += this.used > this.capacity ? 1 : 0;
		return {
			isAccepted: true,
			finish() {
				held.isLoaded = true;
			},
		};
	}

	private unload(order: Order): {isAccepted: boolean} {
		this.moves += this.held.delete(order.model) ? 1 : 0;
		return {isAccepted: true};
	}
}
