/**
 * What the steps of one scenario share.
 */

import {
	After, setDefaultTimeout, setWorldConstructor, Status, World,
} from '@cucumber/cucumber';
import type {Finished} from './child.js';
import {type Deployment} from './deployment.js';

const stepLimitMs = 120_000;

setDefaultTimeout(stepLimitMs);

/** One scenario's world. */
export class ScenarioWorld extends World {
	deployment: Deployment | undefined;
	finished: Finished | undefined;
	response: Response | undefined;
	text = '';
	readonly notes = new Map<string, unknown>();

	/** The deployment that a step before must have started. */
	get running(): Deployment {
		if (!this.deployment) {
			throw new Error('no deployment was started in this scenario');
		}

		return this.deployment;
	}
}

setWorldConstructor(ScenarioWorld);

After(async function (this: ScenarioWorld, {result}) {
	if (result?.status === Status.FAILED && this.deployment) {
		this.deployment.children.forEach((child, name) => {
			this.log(`${name}: ${child.stderr.slice(-1500)}`);
		});
	}

	await this.deployment?.stop();
});
