/**
 * The state of one engine as placement sees it.
 */

import type {HeldModel} from '../state/fleet-endpoint.js';

export type EngineState = {
	id: string;
	failureDomain: string;
	/** Whether it accepts orders now. */
	isReady: boolean;
	/**
	 * Whether an order of unknown outcome may still be executed. The next order must need no memory, so it must be an unload;
	 * once the engine accepts it, the earlier order is void.
	 */
	hasUnresolvedOrder: boolean;
	/** Models in accelerator memory. */
	holds: HeldModel[];
	/** Model whose load was ordered. */
	loading: string | undefined;
	/** Model that gets no new requests, or whose unload was ordered. */
	retiring: string | undefined;
	/** Adapters whose load was ordered, as `model/adapter`. */
	loadingAdapters: string[];
	/** Requests per second that it accepts; undefined without a limit. */
	limitPerSecond?: number;
	inMemory: string[];
	onDisk: string[];
};
