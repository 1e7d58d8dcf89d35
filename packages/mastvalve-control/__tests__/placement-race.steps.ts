/**
 * Steps of placements made from an older state.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {createEmptyConfiguration} from 'mastvalve-configuration';
import {makePlan} from 'mastvalve-intents';
import {
	AssignmentMode, EndpointState, ServiceKind, type Configuration, type EndpointReport, type Intent,
} from 'mastvalve-types';
import {isNewerReport} from '../src/server/control-handlers.js';
import {joinEndpoint, placeAssignments, recordLoaded} from '../src/state/endpoint-changes.js';

type RaceWorld = World & {configuration: Configuration; planIds: string[]};

const intent: Intent = {
	services: [{name: 'llm', kind: ServiceKind.Model, notRepeated: []}],
	models: ['one', 'two'].map(name => ({
		name, service: 'llm', size: 1, adapters: [], minReplicas: 1,
	})),
	events: [],
};

const resident = (model: string) => ({model, mode: AssignmentMode.Resident});

const proof = {endpointId: 'e', incarnation: 1, loaded: ['one']};

Given('an endpoint that shall hold a model', function (this: RaceWorld) {
	const [one, two] = intent.models;
	const empty: Configuration = {...createEmptyConfiguration('c'), models: {...(one && {one}), ...(two && {two})}};
	const {configuration} = joinEndpoint(empty, {
		id: 'e', service: 'llm', failureDomain: 'a', address: '', capacity: 10, processId: 'p',
	}, 1);
	this.configuration = placeAssignments(configuration, [{
		endpointId: 'e', incarnation: 1, assignments: [resident('one')], loaded: [],
	}], 2);
});

When('its load is proved while the leader works out a placement with one model more', function (this: RaceWorld) {
	const workedOut = {
		endpointId: 'e', incarnation: 1, assignments: [resident('one'), resident('two')], loaded: [],
	};
	this.configuration = placeAssignments(recordLoaded(this.configuration, proof, 3), [workedOut], 4);
});

Then('the committed placement holds both models and still knows the proof', function (this: RaceWorld) {
	assert.deepEqual(this.configuration.placements.e?.assignments.map(({model}) => model), ['one', 'two']);
	assert.deepEqual(this.configuration.placements.e?.loaded, ['one']);
});

When('a plan is made before and after its load is proved', function (this: RaceWorld) {
	this.planIds = [this.configuration, recordLoaded(this.configuration, proof, 3)].map(configuration => makePlan(configuration, intent).id);
});

Then('both plans have the same id', function (this: RaceWorld) {
	assert.equal(this.planIds[0], this.planIds[1]);
});

const report = (incarnation: number, sequence: number): EndpointReport => ({
	endpointId: 'e', incarnation, sequence, state: EndpointState.Live, loaded: [], loading: [], running: 0, queued: 0,
});

Then('of two reports of one life only the later one counts, in whatever order they arrive', () => {
	assert.equal(isNewerReport(report(1, 2), report(1, 1)), true);
	assert.equal(isNewerReport(report(1, 1), report(1, 2)), false);
	assert.equal(isNewerReport(report(2, 1), report(1, 9)), true);
	assert.equal(isNewerReport(report(1, 9), report(2, 1)), false);
	assert.equal(isNewerReport(report(1, 1), undefined), true);
});
