/**
 * Counts the loads from the weight store that another holder of the orders begins, as its records tell them. An instance
 * that becomes the holder then knows what is left of the store's rate.
 */

import {WeightSource, type FleetEndpoint, type StoreLoadLimiter} from 'mastvalve-fleet';

/** The count. */
export class ForeignStoreLoads {
	/** Model on its way, by endpoint. */
	private readonly known = new Map<string, string>();

	constructor(private readonly rate: StoreLoadLimiter) {}

	/** Looks at the records, often; a load counts from the moment at which it was first seen, ms. */
	observe(endpoints: readonly FleetEndpoint[], now: number): void {
		endpoints.forEach(({id, loading}) => {
			const model = loading?.source === WeightSource.Store ? loading.model : undefined;
			if (model !== undefined && model !== this.known.get(id)) {
				this.rate.recordStart(now);
			}

			if (model === undefined) {
				this.known.delete(id);
			} else {
				this.known.set(id, model);
			}
		});
	}
}
