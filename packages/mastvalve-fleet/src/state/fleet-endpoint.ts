/**
 * An endpoint as control knows it.
 */

import type {WeightSource} from '../engines/weight-source.js';

/** How far an endpoint is between its start and its end. */
export enum EndpointPhase {
	Ready = 'ready',
	/** It has sent no heartbeat for a while; it may still serve. */
	Silent = 'silent',
	/** It takes no new work. */
	Leaving = 'leaving',
	/** It has ended. */
	Gone = 'gone',
}

/** A model that an engine holds, with its adapters. */
export type HeldModel = {name: string; adapters: string[]};

/** What an endpoint says of itself in a heartbeat. */
export type EndpointReport = {
	/** Identity of one incarnation of the endpoint (`endpoint-incarnation.ts`); a restart brings a new one. */
	id: string;
	/** Rises with every report of one incarnation. */
	sequence: number;
	service: string;
	/** `ip:port`. */
	address: string;
	failureDomain: string;
	/** Version of its software. */
	release: string;
	slots: number;
	isLeaving: boolean;
	/** Time until it is taken away whatever it runs, ms. */
	remainingMs: number | undefined;
	holds: HeldModel[];
	/** Models whose weights are in its host memory. */
	inMemory: string[];
	/** Models whose weights are on its disk. */
	onDisk: string[];
};

/** A load that control has decided on; time in ms. */
export type ExpectedLoad = {model: string; expectedMs: number; source: WeightSource};

/** An endpoint with what control adds. */
export type FleetEndpoint = EndpointReport & {
	phase: EndpointPhase;
	/** A model that is about to be unloaded and gets no new requests. */
	retiring: string | undefined;
	/** A model that is on its way, and how long that is expected to take from this revision on. */
	loading: ExpectedLoad | undefined;
	/** Whether an order of control may be on its way or under way. */
	isOrdering: boolean;
	/** Requests a second that it takes from all entries together; missing while it has named no limit, and in snapshots of earlier versions. */
	limitPerSecond?: number;
	/** Log index of the last record of orders; 0 when none was ever given. */
	orderedAt: number;
	/** Log index of the last change. */
	revision: number;
};

/** Whether an endpoint takes new requests, as far as control knows. */
export const takesRequests = ({phase}: FleetEndpoint): boolean => phase === EndpointPhase.Ready || phase === EndpointPhase.Silent;
