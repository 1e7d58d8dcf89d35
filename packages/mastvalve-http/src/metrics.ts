/**
 * Metrics that are read when they are asked for.
 */

import {Gauge, type Registry} from 'prom-client';

/** Adds a gauge whose value is read at each scrape. */
export const registerGauge = (registry: Registry, name: string, help: string, read: () => number): void => {
	const gauge = new Gauge({
		name,
		help,
		registers: [registry],
		collect() {
			gauge.set(read());
		},
	});
};
