/**
 * The interface through which the scheduler reaches engines. The program that embeds this package implements it.
 */

import type {EngineOrder, HeldModel} from 'mastvalve-fleet';

/** Outcome of sending an order to an engine. */
export enum OrderOutcome {
	/** The engine accepted the order and is executing it. */
	Accepted = 'taken',
	/** The requested state was already in force, or was reached immediately. */
	InForce = 'in-force',
	/** Another order is in progress, or the engine's order count differs from the expected one. */
	Conflict = 'conflict',
	/** The engine has seen a higher fencing token. */
	Fenced = 'fenced',
	/** No process, or a different endpoint, listens at the address. */
	Absent = 'absent',
	/** The engine rejected the order as malformed or not applicable. */
	Invalid = 'invalid',
	/** No response; the order may have been accepted, or may still be. */
	Unanswered = 'unanswered',
}

/** An order with its address, expected order count and fencing token. */
export type SentOrder = {
	endpointId: string;
	address: string;
	order: EngineOrder;
	/** Number of orders the engine has accepted so far; the engine refuses the order if its own count differs. */
	expectedCount: number;
	holder: string;
	fence: number;
};

/** State of an engine, as the engine itself reports it. */
export type EngineStatus = {
	holds: HeldModel[];
	/** Number of orders accepted since the engine started. */
	orderCount: number;
	isBusy: boolean;
	inMemory: string[];
	onDisk: string[];
	loadingAdapters: string[];
};

export type EnginePort = {
	sendOrder: (order: SentOrder) => Promise<OrderOutcome>;
	/** Undefined if there is no response, or if a different endpoint responds. */
	readStatus: (endpointId: string, address: string) => Promise<EngineStatus | undefined>;
};
