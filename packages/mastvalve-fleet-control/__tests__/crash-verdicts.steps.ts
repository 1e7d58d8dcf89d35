/**
 * Steps for crashes that heartbeats refute.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {CrashVerdicts} from '../src/index.js';

type VerdictWorld = World & {verdicts: CrashVerdicts};

const endpointId = 'engine-1#1000';

Given('an endpoint that is reported as crashed at {int} ms', function (this: VerdictWorld, at: number) {
	this.verdicts = new CrashVerdicts();
	this.verdicts.recordReports([endpointId], at);
});

When('it is reported as crashed at {int} ms', function (this: VerdictWorld, at: number) {
	this.verdicts.recordReports([endpointId], at);
});

When('its heartbeats arrive at {string} ms', function (this: VerdictWorld, times: string) {
	[...times.matchAll(/\d+/gv)].forEach(([at]) => {
		this.verdicts.recordHeartbeats([endpointId], Number(at));
		this.verdicts.listRefuted([endpointId], Number(at));
	});
});

When('a new leader begins at {int} ms', function (this: VerdictWorld, at: number) {
	this.verdicts.reset();
	this.verdicts.listRefuted([endpointId], at);
});

Then('the crash is refuted at {int} ms', function (this: VerdictWorld, at: number) {
	assert.deepEqual(this.verdicts.listRefuted([endpointId], at), [endpointId]);
});

Then('the crash is not refuted at {int} ms', function (this: VerdictWorld, at: number) {
	assert.deepEqual(this.verdicts.listRefuted([endpointId], at), []);
});
