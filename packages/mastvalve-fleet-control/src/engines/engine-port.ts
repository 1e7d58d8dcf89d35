/**
 * What directing engines needs of the outside: functions that the program hands in.
 */

import type {EngineOrder, HeldModel} from 'mastvalve-fleet';

/** What became of an order. */
export enum OrderOutcome {
	/** It is under way. */
	Accepted = 'taken',
	/** It was in force already, or took no time. */
	InForce = 'in-force',
	/** Another order is under way, or the count of orders is another one. */
	Conflict = 'conflict',
	/** A higher fencing token was seen. */
	Fenced = 'fenced',
	/** Nobody, or somebody else, is at the address. */
	Absent = 'absent',
	/** The order makes no sense to the engine. */
	Invalid = 'invalid',
	/** It may have been taken, or may be later. */
	Unanswered = 'unanswered',
}

/** An order as it is sent. */
export type SentOrder = {
	endpointId: string;
	address: string;
	order: EngineOrder;
	/** Orders that the engine has taken so far; it refuses when that differs. */
	expectedCount: number;
	holder: string;
	fence: number;
};

/** The true state of an engine. */
export type EngineStatus = {
	holds: HeldModel[];
	/** Orders taken since its start. */
	orderCount: number;
	isBusy: boolean;
	inMemory: string[];
	onDisk: string[];
	loadingAdapters: string[];
};

/** The port. */
export type EnginePort = {
	sendOrder: (order: SentOrder) => Promise<OrderOutcome>;
	/** Undefined when it does not answer, or another endpoint does. */
	readStatus: (endpointId: string, address: string) => Promise<EngineStatus | undefined>;
};
