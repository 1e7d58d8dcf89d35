/**
 * Steps of the proofs.
 */

import {strict as assert} from 'node:assert';
import {Then, When, type World} from '@cucumber/cucumber';
import {listShortcomings, runProof, type ProofRow} from '../src/index.js';
import {allProofs} from './all.proofs.js';

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
