/**
 * What placement knows of one engine.
 */

import type {HeldModel} from '../state/fleet-endpoint.js';

/** One engine. */
export type EngineState = {
	id: string;
	failureDomain: string;
	/** Whether orders may be given to it now. */
	isReady: boolean;
	/**
	 * An order that nobody follows may still be carried out. The next order must be one that needs no room: an unload; once
	 * it is taken, the other one is void.
	 */
	hasUnresolvedOrder: boolean;
	/** Models in accelerator memory. */
	holds: HeldModel[];
	/** A model whose load was ordered. */
	loading: string | undefined;
	/** A model that gets no new requests, or whose unloading was ordered. */
	retiring: string | undefined;
	/** Adapters whose load was ordered, as `model/adapter`. */
	loadingAdapters: string[];
	/** Requests a second that it takes; undefined for as many as its time allows. */
	limitPerSecond?: number;
	inMemory: string[];
	onDisk: string[];
};
