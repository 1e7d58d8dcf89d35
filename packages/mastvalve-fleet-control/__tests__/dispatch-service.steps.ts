/**
 * Steps for the leader's account of runs, with entries that keep to its protocol.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {DispatchDecisionKind, RunEventKind, type DispatchDecision} from 'mastvalve-dispatch';
import {EndpointPhase, type FleetEndpoint, type FleetMachine} from 'mastvalve-fleet';
import {assumeType} from 'mastvalve-utils';
import {createClaim} from '../../mastvalve-dispatch/__tests__/__fixtures__/workloads.js';
import {DispatchService, type DispatchRequest, type DispatchResponse} from '../src/dispatch-service.js';

type ServiceWorld = World & {now: number; term: number; service: DispatchService; entries: string[]; claims: number};

const copyMsPerToken = 0.0128;
const pollMs = 20;
const polls = 500;

const createMachine = (engines: number, copyMsPerToken?: number): FleetMachine => {
	const endpoints = Array.from({length: engines}, (_, index) => assumeType<FleetEndpoint>({
		id: `e${index}`, service: 'models', failureDomain: 'd', phase: EndpointPhase.Ready, holds: [{name: 'm', adapters: []}],
	}));
	return assumeType<FleetMachine>({
		revision: 1,
		list: () => endpoints,
		find: (id: string) => endpoints.find(endpoint => endpoint.id === id),
		configuration: {configuration: {services: [{name: 'models', engine: {slots: 4, tokenCapacity: 40_000, copyMsPerToken}}]}},
	});
};

const ask = ({service}: ServiceWorld, entry: string, request: Partial<DispatchRequest>): DispatchResponse => {
	const response = service.answer({
		entry, claims: [], events: [], running: [], isWhole: false, ...request,
	});
	assert.ok(response);
	return response;
};

const claimAll = (world: ServiceWorld, count: number): Map<string, DispatchDecision[]> => new Map(world.entries.map(entry => {
	const claims = Array.from({length: count}, (_, index) => createClaim({id: `${entry} ${index}`, model: 'm'}));
	return [entry, ask(world, entry, {claims, isWhole: true}).decisions];
}));

const start = (world: ServiceWorld, entries: number, machine: FleetMachine): void => {
	world.now = 0;
	world.term = 1;
	world.claims = 0;
	world.entries = Array.from({length: entries}, (_, index) => `entry-${index}`);
	world.service = new DispatchService({machine, readTerm: () => world.term, now: () => world.now});
};

Given('a leader with {int} engines, and {int} entries', function (this: ServiceWorld, engines: number, entries: number) {
	start(this, entries, createMachine(engines));
});

Given('a leader with {int} engines that copy, and {int} entries', function (this: ServiceWorld, engines: number, entries: number) {
	start(this, entries, createMachine(engines, copyMsPerToken));
});

When('each entry makes {int} claims, and those that are assigned end', function (this: ServiceWorld, count: number) {
	const decisions = claimAll(this, count);
	const ended: string[] = [];
	Array.from({length: polls}).forEach(() => {
		this.now += pollMs;
		this.entries.forEach(entry => {
			const settled = (decisions.get(entry) ?? []).filter(({kind}) => kind !== DispatchDecisionKind.Queued);
			ended.push(...settled.map(({id}) => id));
			const events = settled.filter(({kind}) => kind === DispatchDecisionKind.Assigned).flatMap(({id}) => [
				{
					id, kind: RunEventKind.FirstByte, ageMs: 5, firstByteMs: 10,
				},
				{id, kind: RunEventKind.Completed, ageMs: 0},
			]);
			decisions.set(entry, ask(this, entry, {events}).decisions);
		});
	});
	assert.equal(new Set(ended).size, this.entries.length * count);
	assert.equal(ended.length, this.entries.length * count);
});

When('each entry makes {int} claims, and {int} ms pass', function (this: ServiceWorld, count: number, ms: number) {
	claimAll(this, count);
	assert.ok(this.service.runCount > 0);
	this.now += ms;
});

When('each entry makes {int} claims, and reports that it has no runs', function (this: ServiceWorld, count: number) {
	claimAll(this, count);
	assert.ok(this.service.runCount > 0);
	this.entries.forEach(entry => {
		ask(this, entry, {isWhole: true});
	});
});

Then('the leader counts no runs and no waiting claims', function (this: ServiceWorld) {
	assert.deepEqual({runs: this.service.runCount, waiting: this.service.waitingCount}, {runs: 0, waiting: 0});
});

/** Claims an engine for a prompt of one shared part. */
const claimPrompt = (world: ServiceWorld, excluded: string[], promptParts = [{id: 'p', tokens: 6000}]): DispatchDecision & {kind: DispatchDecisionKind.Assigned} => {
	world.claims += 1;
	const claim = createClaim({
		id: `claim ${world.claims}`, model: 'm', promptTokens: 6500, promptParts, objectiveMs: 5000, targetMs: 5000, pauseMs: undefined, excluded,
	});
	const [decision] = ask(world, 'entry-0', {claims: [claim], isWhole: world.claims === 1}).decisions;
	assert.equal(decision?.kind, DispatchDecisionKind.Assigned);
	return assumeType<DispatchDecision & {kind: DispatchDecisionKind.Assigned}>(decision);
};

When('a prompt was read by e0', function (this: ServiceWorld) {
	const {id} = claimPrompt(this, ['e1', 'e2']);
	ask(this, 'entry-0', {events: [{id, kind: RunEventKind.FirstByte, ageMs: 0}, {id, kind: RunEventKind.Completed, ageMs: 0}]});
});

When('another term begins', function (this: ServiceWorld) {
	this.term += 1;
	ask(this, 'entry-0', {isWhole: true});
});

/** Claims an engine beside e0, whose slots other prompts fill. */
const claimBeside = (world: ServiceWorld): DispatchDecision & {kind: DispatchDecisionKind.Assigned} => {
	const busy = [1, 2, 3, 4].map(() => claimPrompt(world, ['e1', 'e2'], []));
	const decision = claimPrompt(world, ['e2']);
	ask(world, 'entry-0', {events: [...busy, decision].map(({id}) => ({id, kind: RunEventKind.Cancelled, ageMs: 0}))});
	assert.equal(decision.endpoint, 'e1');
	return decision;
};

Then('the same prompt at another engine is copied from e0', function (this: ServiceWorld) {
	assert.deepEqual(claimBeside(this).copy, {source: 'e0', tokens: 6000});
});

Then('the same prompt at another engine is read', function (this: ServiceWorld) {
	assert.equal(claimBeside(this).copy, undefined);
});

Then('the leader asks each entry for its runs at the next call', function (this: ServiceWorld) {
	this.entries.forEach(entry => {
		assert.ok(ask(this, entry, {}).needsRunning);
	});
});
