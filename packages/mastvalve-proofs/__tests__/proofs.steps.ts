/**
 * Steps of the proofs.
 */

import {strict as assert} from 'node:assert';
import {Then, When, type World} from '@cucumber/cucumber';
import {listShortcomings, runProof, type ProofRow} from '../src/index.js';
import {LimitFault} from '../../mastvalve-gateway/__tests__/__fixtures__/limited-fleet.js';
import {allProofs} from './all.proofs.js';
import {Disturbance, playCase} from './endpoint-limits.proofs.js';

type ProofWorld = World & {rows: ProofRow[]};

When('all proofs are run with seed {int} and {int} cases each', async function (this: ProofWorld, seed: number, cases: number) {
	this.rows = [];
	for (const proof of allProofs) {
		// eslint-disable-next-line no-await-in-loop
		this.rows.push(await runProof(proof, {seed, cases}));
	}

	this.log(`seed ${seed}`);
});

Then('no property is without a row, no twin goes unfound and nothing is violated', function (this: ProofWorld) {
	assert.deepEqual(listShortcomings(this.rows), []);
});

Then('the limit is kept in the series that seed 182672626 has found', async () => {
	await playCase({
		seed: 862_879,
		entries: 5,
		firstShare: 0,
		perSecond: 0,
		maxAnswerMs: 4000,
		steps: [
			{kind: Disturbance.Restart, pick: 0},
			{kind: Disturbance.Elect, pick: 0},
			{kind: Disturbance.Cut, pick: 0},
			{kind: Disturbance.Rename, pick: 17},
			{kind: Disturbance.Rename, pick: 0},
			{kind: Disturbance.Elect, pick: 0},
		],
	}, LimitFault.None);
});
