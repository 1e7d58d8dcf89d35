/**
 * The two deployments of the brief, as the policy bench sees them.
 */

/** One deployment. Sizes and capacity share a unit; times in ms. */
export type DeploymentShape = {
	name: string;
	service: string;
	engines: number;
	capacity: number;
	failureDomains: string[];
	models: Array<{name: string; size: number; adapters: number; loadMs: number}>;
	loadsPerSecond: number;
	parallelLoads: number;
	moveWeight: number;
	/** Requests a second over all models when it is calm. */
	calmRate: number;
	/** Share of requests by class: interactive, standard, batch. */
	classShares: [number, number, number];
	/** Models that a burst at a fixed hour concerns, and by how much. */
	burst: {models: number[]; factor: number};
};

const createModels = (prefix: string, count: number, adapters: number, [minLoadMs, maxLoadMs]: [number, number]): DeploymentShape['models'] =>
	Array.from({length: count}, (_, index) => ({
		name: `${prefix}-${index}`,
		size: 65 + ((index * 3) % 8),
		adapters: Math.floor(adapters / count) + (index < adapters % count ? 1 : 0),
		loadMs: minLoadMs + (((index * 7) % count) * ((maxLoadMs - minLoadMs) / count)),
	}));

/** Katalogix: drafts can wait; moves weigh more. */
export const katalogixShape: DeploymentShape = {
	name: 'katalogix',
	service: 'opis-llm',
	engines: 8,
	capacity: 320,
	failureDomains: ['pl-central-a', 'pl-central-b', 'pl-central-c'],
	models: createModels('opis', 26, 64, [2000, 6000]),
	loadsPerSecond: 1.4,
	parallelLoads: 15,
	moveWeight: 0.6,
	calmRate: 36,
	classShares: [0.3, 0.5, 0.2],
	burst: {models: [2, 0], factor: 4},
};

/** Aláírópont: a customer sits at the counter; attainment weighs more. */
export const alairopontShape: DeploymentShape = {
	name: 'alairopont',
	service: 'lector',
	engines: 13,
	capacity: 320,
	failureDomains: ['hu-central-a', 'hu-central-b', 'hu-central-c'],
	models: createModels('lector', 39, 95, [1000, 9000]),
	loadsPerSecond: 2,
	parallelLoads: 17,
	moveWeight: 0.1,
	calmRate: 60,
	classShares: [0.7, 0.2, 0.1],
	burst: {models: [0, 1, 8], factor: 4},
};
