/**
 * The ledger of one endpoint's accelerator memory.
 *
 * What counts as taken is all that the engine's last status shows, and besides it every load that was ordered and
 * that no status has accounted for yet, whether or not its answer came. So an order that is lost or late keeps its
 * memory until the engine itself proves what became of it. A plain piece of state: no clock, no sockets.
 */

import {OrderKind, type FencingToken, type Order} from 'mastvalve-types';
import {sumOf} from 'mastvalve-utils';
import type {EngineStatus} from './engine-status.js';

/** The decision on which "never beyond capacity" rests, as a function so that proofs can hand in a broken one. */
export type LedgerRules = {
	/** Whether an order that was sent still counts after a status. */
	isStillOpen: (order: Order, status: EngineStatus, fence: FencingToken | undefined) => boolean;
};

const isSameToken = (a: FencingToken, b: FencingToken): boolean => a.term === b.term && a.sequence === b.sequence;

const isBefore = (a: FencingToken, b: FencingToken): boolean => a.term < b.term || (a.term === b.term && a.sequence < b.sequence);

/** An order is closed by the engine's account of it, or by a fence behind it that the engine honours. */
export const defaultLedgerRules: LedgerRules = {
	isStillOpen: (order, status, fence) =>
		!status.handled.some(token => isSameToken(token, order.token)) && !(fence && isBefore(order.token, fence)),
};

/** The ledger. */
export class MemoryLedger {
	private status: EngineStatus | undefined;
	private open: Order[] = [];
	private readonly sizes = new Map<string, number>();
	private foreignReserve = 0;

	constructor(private readonly capacity: number, private readonly rules: LedgerRules = defaultLedgerRules) {}

	/** Whether the engine's true state has been read; before that nothing may be ordered. */
	get isKnown(): boolean {
		return this.status !== undefined;
	}

	get loaded(): string[] {
		return this.status?.loaded ?? [];
	}

	/** Models that take memory and aren't proved to be loaded. */
	get unproved(): string[] {
		return [...this.listTaken()].filter(model => !this.loaded.includes(model));
	}

	/** Whether an order still waits for the engine's account. */
	get hasOpenOrders(): boolean {
		return this.open.length > 0;
	}

	/** Memory that is taken or may be. */
	get committed(): number {
		return this.foreignReserve + sumOf([...this.listTaken()], model => this.sizes.get(model) ?? this.capacity);
	}

	/** Sizes of models, from the configuration. A model of unknown size counts as the whole endpoint. */
	setSizes(sizes: ReadonlyMap<string, number>): void {
		sizes.forEach((size, model) => {
			this.sizes.set(model, size);
		});
	}

	/** Memory held back for an order that a former sidecar may have sent to an engine that checks no tokens. */
	setForeignReserve(size: number): void {
		this.foreignReserve = size;
	}

	/** Whether a load fits beside all that is taken or may be. */
	canLoad(model: string, size: number): boolean {
		const isTaken = this.listTaken().has(model);
		const capacity = Math.min(this.capacity, this.status?.capacity ?? 0);
		return this.isKnown && !isTaken && this.committed + size <= capacity;
	}

	/** An order is about to be sent. */
	recordSent(order: Order): void {
		this.sizes.set(order.model, order.size);
		this.open = [...this.open, order];
	}

	/** A status was read, asked for after the last order; `fence` is the token under which the engine honoured it. */
	applyStatus(status: EngineStatus, fence: FencingToken | undefined): void {
		this.status = status;
		this.open = this.open.filter(order => this.rules.isStillOpen(order, status, fence));
	}

	/** An unload that was ordered and isn't accounted for: the model must not be used. */
	isUnloading(model: string): boolean {
		return this.open.some(order => order.kind === OrderKind.Unload && order.model === model);
	}

	private listTaken(): Set<string> {
		const ordered = this.open.filter(order => order.kind === OrderKind.Load).map(order => order.model);
		return new Set([...(this.status?.loaded ?? []), ...(this.status?.loading ?? []), ...ordered]);
	}
}
