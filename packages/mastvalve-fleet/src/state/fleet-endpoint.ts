/**
 * An endpoint as recorded by control.
 */

import type {WeightSource} from '../engines/weight-source.js';

/** Phase in the life cycle of an endpoint. */
export enum EndpointPhase {
	Ready = 'ready',
	/** Heartbeats are overdue; it may still serve. */
	Silent = 'silent',
	/** It accepts no new requests. */
	Leaving = 'leaving',
	/** It has ended. */
	Gone = 'gone',
}

/** A model that an engine holds, with its adapters. */
export type HeldModel = {name: string; adapters: string[]};

/** State that an endpoint reports in a heartbeat. */
export type EndpointReport = {
	/** Identity of one incarnation of the endpoint (`endpoint-incarnation.ts`); a restart has a new one. */
	id: string;
	/** Increases with every report of one incarnation. */
	sequence: number;
	service: string;
	/** `ip:port`. */
	address: string;
	failureDomain: string;
	/** Version of its software. */
	release: string;
	slots: number;
	isLeaving: boolean;
	/** Time until the endpoint is withdrawn regardless of running requests, ms. */
	remainingMs: number | undefined;
	holds: HeldModel[];
	/** Models whose weights are in its host memory. */
	inMemory: string[];
	/** Models whose weights are on its disk. */
	onDisk: string[];
};

/** A load that control has planned. */
export type ExpectedLoad = {model: string; expectedMs: number; source: WeightSource};

/** A reported endpoint with the state that control adds. */
export type FleetEndpoint = EndpointReport & {
	phase: EndpointPhase;
	/** Model that is about to be unloaded and gets no new requests. */
	retiring: string | undefined;
	/** Model being loaded, with the expected duration from this revision on, ms. */
	loading: ExpectedLoad | undefined;
	/** Whether an order of control may be in flight or being executed. */
	isOrdering: boolean;
	/** Requests per second that it accepts from all entries together; missing without a limit, and in snapshots of earlier versions. */
	limitPerSecond?: number;
	/** Whether an entry has found that nobody listens at its address; a successor may answer there before it registers. Missing until then, after heartbeats that refute it, and in snapshots of earlier versions. */
	hasCrashed?: boolean;
	/** Log index of the last record of orders; 0 if there was none. */
	orderedAt: number;
	/** Log index of the last change. */
	revision: number;
};

/** Whether an endpoint accepts new requests, according to the record. */
export const takesRequests = ({phase}: Pick<FleetEndpoint, 'phase'>): boolean => phase === EndpointPhase.Ready || phase === EndpointPhase.Silent;

/** Whether an endpoint may send the rest of a stream that a release began: the process at its address is of that release. */
export const continuesStreams = ({hasCrashed, release}: Pick<FleetEndpoint, 'hasCrashed' | 'release'>, begunBy: string): boolean =>
	hasCrashed !== true && release === begunBy;
