/**
 * Proofs of property 1 on the users' platform: control's account of an engine's room, driven as it runs there.
 */

import {strict as assert} from 'node:assert';
import {
	adapterSteps, brokenLedgers, modelSteps, playAdapters, playModels,
} from '../../mastvalve-fleet-control/__tests__/__fixtures__/desk-series.js';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

const places = 3;

const adapterProofs = Object.entries(brokenLedgers).map(([twin, createBroken]): Proof => ({
	property: Property.Memory,
	failure: 'orders for adapters lost, late; holders of the orders that pause and follow each other',
	scenario: 'no order needs more adapter slots than an engine has',
	twin,
	run: async (variant, run) => checkProperty(adapterSteps, async series => {
		const engine = await playAdapters(series, variant === Variant.Broken ? createBroken : undefined);
		assert.deepEqual(engine.excessive, []);
	}, {...run, variant}),
}));

/** The proofs. */
export const engineRoomProofs: Proof[] = [
	...adapterProofs,
	{
		property: Property.Memory,
		failure: 'orders for models lost, late; holders of the orders that follow each other',
		scenario: 'no order needs more memory than an engine has',
		twin: 'an engine with one place fewer than its holders believe',
		run: async (variant, run) => checkProperty(modelSteps, async series => {
			const engine = await playModels(series, variant === Variant.Broken ? places - 1 : places);
			assert.deepEqual(engine.excessive, []);
		}, {...run, variant}),
	},
];
