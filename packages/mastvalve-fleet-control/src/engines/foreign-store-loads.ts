/**
 * Counts the loads from the weight store that another holder of the order lease starts, as recorded in the log. An instance
 * that becomes the holder then knows how much of the store's rate limit remains.
 */

import {WeightSource, type FleetEndpoint, type StoreLoadLimiter} from 'mastvalve-fleet';

export class ForeignStoreLoads {
	/** Model being loaded from the store, by endpoint. */
	private readonly loadingModels = new Map<string, string>();

	constructor(private readonly rate: StoreLoadLimiter) {}

	/** Reads the recorded loads; must be called often, since a load counts from the time at which it is first observed, ms. */
	observe(endpoints: readonly FleetEndpoint[], now: number): void {
		endpoints.forEach(({id, loading}) => {
			const model = loading?.source === WeightSource.Store ? loading.model : undefined;
			if (model !== undefined && model !== this.loadingModels.get(id)) {
				this.rate.recordStart(now);
			}

			if (model === undefined) {
				this.loadingModels.delete(id);
			} else {
				this.loadingModels.set(id, model);
			}
		});
	}
}
