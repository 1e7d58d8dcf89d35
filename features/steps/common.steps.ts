/**
 * Steps that many features share: the small deployment, snapshots, exit codes.
 */

import {strict as assert} from 'node:assert';
import {existsSync} from 'node:fs';
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {runCommand} from '../support/child.js';
import {Deployment, readRepositoryFile} from '../support/deployment.js';
import type {ScenarioWorld} from '../support/world.js';

const smallIntent = 'features/__fixtures__/small-intent.toml';

const prepareSmall = async (fenced: boolean): Promise<Deployment> => {
	const deployment = new Deployment({fenced, loadMs: 100});
	const text = await readRepositoryFile('features/__fixtures__/small.toml');
	await deployment.prepare(fenced ? text : text.replaceAll('fenced = true', 'fenced = false'));
	return deployment;
};

Given('the small deployment is prepared', async function (this: ScenarioWorld) {
	this.deployment = await prepareSmall(true);
});

Given('the small deployment runs', async function (this: ScenarioWorld) {
	this.deployment = await prepareSmall(true);
	await this.deployment.start();
});

Given('the small deployment runs with its intent confirmed', async function (this: ScenarioWorld) {
	this.deployment = await prepareSmall(true);
	await this.deployment.start();
	await this.deployment.confirmIntent(smallIntent);
});

Given('the small deployment with engines that check no tokens runs', async function (this: ScenarioWorld) {
	this.deployment = await prepareSmall(false);
	await this.deployment.start();
});

When('the settings file {string} is checked', async function (this: ScenarioWorld, file: string) {
	this.finished = await runCommand(['settings', 'check', file]);
	this.text = this.finished.stdout;
});

Then('the exit code is {int}', function (this: ScenarioWorld, code: number) {
	assert.equal(this.finished?.code, code);
});

/** Compares with a golden file; `UPDATE_SNAPSHOTS=1` writes it anew. */
export const matchSnapshot = async (name: string, text: string): Promise<void> => {
	const file = `features/__snapshots__/${name}`;
	if (process.env.UPDATE_SNAPSHOTS === '1' || !existsSync(file)) {
		assert.equal(process.env.CI, undefined, `${file} is missing; run the features once with UPDATE_SNAPSHOTS=1`);
		await writeFile(file, text);
	}

	assert.equal(text, await readFile(file, 'utf8'));
};

Then('the output matches the snapshot {string}', async function (this: ScenarioWorld, name: string) {
	await matchSnapshot(name, this.text);
});
