/**
 * Steps for copies of kept prompts.
 */

import {strict as assert} from 'node:assert';
import {
	defineParameterType, Given, Then, When, type DataTable, type World,
} from '@cucumber/cucumber';
import {assumeType} from 'mastvalve-utils';
import {
	Dispatcher, DispatchDecisionKind, RunEventKind, type DispatchClaim, type DispatchDecision, type EngineCandidate,
} from '../src/index.js';
import {measureHitRate} from '../src/copy-hit-rates.js';
import {isWorthwhile} from '../src/plan-copy.js';
import {createClaim} from './__fixtures__/workloads.js';

type Engine = EngineCandidate & {isGone: boolean; models: string[]};
type Assigned = DispatchDecision & {kind: DispatchDecisionKind.Assigned};

type CopyWorld = World & {
	engines: Map<string, Engine>;
	dispatcher: Dispatcher;
	last: Assigned;
	/** Prompts that occupy engines. */
	busy: Array<{engine: string; id: string}>;
	nextId: number;
	now: number;
};

defineParameterType({name: 'begun', regexp: /begun|not begun/v, transformer: text => text === 'begun'});

const entry = 'entry-0';
/** Tokens by the first letter of a part. */
const partTokens: Readonly<Record<string, number>> = {
	p: 2000, q: 4300, r: 4300, s: 4300, t: 150,
};
const tokensOfThree = 10_600;
const ownTokens = 500;
const busyTokens = 20_000;

const startLeader = (world: CopyWorld): void => {
	world.dispatcher = new Dispatcher({
		listHolders: ({model}) => [...world.engines.values()].filter(({isGone, models}) => !isGone && models.includes(model)),
		isKnown: id => world.engines.get(id)?.isGone === false,
	});
};

const addEngine = (world: CopyWorld, engine: Partial<Engine> & {id: string}): void => {
	world.engines.set(engine.id, {
		isSilent: false, slots: 200, tokenCapacity: 1_000_000, isGone: false, models: ['hot'], ...engine,
	});
};

const others = (world: CopyWorld, engine: string): string[] => [...world.engines.keys()].filter(id => id !== engine);

const createPrompt = (parts: string): Partial<DispatchClaim> => {
	const promptParts = parts.split(',').map(id => ({id, tokens: partTokens[id[0]!]!}));
	return {
		promptParts, promptTokens: ownTokens + promptParts.reduce((sum, {tokens}) => sum + tokens, 0), pauseMs: undefined, outputTokens: 50,
	};
};

const decide = (world: CopyWorld, claim: Partial<DispatchClaim>): Assigned => {
	world.nextId += 1;
	world.dispatcher.recordContact(entry, world.now);
	const decision = world.dispatcher.claim(entry, createClaim({id: `run-${world.nextId}`, model: 'hot', ...claim}), world.now);
	assert.equal(decision.kind, DispatchDecisionKind.Assigned);
	return assumeType<Assigned>(decision);
};

const report = (world: CopyWorld, id: string, ...kinds: RunEventKind[]): void => {
	kinds.forEach(kind => {
		world.dispatcher.record({id, kind, ageMs: 0}, world.now);
	});
};

const sendTo = (world: CopyWorld, engine: string, claim: Partial<DispatchClaim>): Assigned => decide(world, {...claim, excluded: others(world, engine)});

const read = (world: CopyWorld, engine: string, parts: string): void => {
	report(world, sendTo(world, engine, createPrompt(parts)).id, RunEventKind.FirstByte, RunEventKind.Completed);
};

const occupy = (world: CopyWorld, engine: string): void => {
	const {id} = sendTo(world, engine, {promptTokens: busyTokens, pauseMs: undefined});
	world.busy.push({engine, id});
};

const free = (world: CopyWorld, engine: string): void => {
	world.busy.filter(each => each.engine === engine).forEach(({id}) => {
		report(world, id, RunEventKind.Cancelled);
	});
};

Given('engines that copy a token in {float} ms:', function (this: CopyWorld, copyMsPerToken: number, table: DataTable) {
	this.engines = new Map();
	this.busy = [];
	this.nextId = 0;
	this.now = 10_000;
	table.hashes().forEach(({id = '', failureDomain}) => {
		addEngine(this, {id, failureDomain, copyMsPerToken});
	});
	startLeader(this);
});

Given('engines that can\'t copy', function (this: CopyWorld) {
	this.engines.forEach(engine => {
		engine.copyMsPerToken = undefined;
	});
});

When('a prompt with parts {string} is read by {string}', function (this: CopyWorld, parts: string, engines: string) {
	engines.split(',').forEach(engine => {
		read(this, engine, parts);
	});
});

When('a prompt with parts {string} is assigned by {string}', function (this: CopyWorld, parts: string, engine: string) {
	sendTo(this, engine, createPrompt(parts));
});

When('a prompt with parts {string} is failed by {string}', function (this: CopyWorld, parts: string, engine: string) {
	report(this, sendTo(this, engine, createPrompt(parts)).id, RunEventKind.Failed);
	this.now += 1000;
});

When('a prompt with parts {string} is cancelled by {string}', function (this: CopyWorld, parts: string, engine: string) {
	report(this, sendTo(this, engine, createPrompt(parts)).id, RunEventKind.Cancelled);
});

When('{string} is busy', function (this: CopyWorld, engine: string) {
	occupy(this, engine);
});

When('{string} are busy', function (this: CopyWorld, engines: string) {
	engines.split(',').forEach(engine => {
		occupy(this, engine);
	});
});

When('{string} is idle again', function (this: CopyWorld, engine: string) {
	free(this, engine);
	report(this, this.last.id, RunEventKind.Cancelled);
});

When('its engine is busy', function (this: CopyWorld) {
	occupy(this, this.last.endpoint);
});

When('its engine has read it in {int} ms', function (this: CopyWorld, ms: number) {
	this.now += ms;
	report(this, this.last.id, RunEventKind.FirstByte, RunEventKind.Completed);
});

When('{string} falls silent', function (this: CopyWorld, engine: string) {
	this.engines.get(engine)!.isSilent = true;
});

When('{string} fails a request', function (this: CopyWorld, engine: string) {
	report(this, sendTo(this, engine, {}).id, RunEventKind.Failed);
});

When('{string} reads {int} tokens more than it keeps', function (this: CopyWorld, engine: string, tokens: number) {
	this.engines.get(engine)!.tokenCapacity = tokensOfThree - tokens;
	read(this, engine, 'r');
	occupy(this, engine);
});

When('{string} leaves', function (this: CopyWorld, engine: string) {
	this.engines.get(engine)!.models = [];
});

When('{string} restarts under the same address', function (this: CopyWorld, engine: string) {
	const {failureDomain, copyMsPerToken} = this.engines.get(engine)!;
	this.engines.get(engine)!.isGone = true;
	this.dispatcher.sweep(this.now);
	addEngine(this, {id: `${engine}-2`, failureDomain, copyMsPerToken});
});

When('{string} unloads its models by an order', function (this: CopyWorld, engine: string) {
	this.dispatcher.dropModel(engine, 'hot');
	occupy(this, engine);
});

When('{string} unloads its models without an order', function (this: CopyWorld, engine: string) {
	this.engines.get(engine)!.models = [];
	this.dispatcher.sweep(this.now);
	this.engines.get(engine)!.models = ['hot'];
	occupy(this, engine);
});

When('another leader is elected', function (this: CopyWorld) {
	startLeader(this);
});

When('another leader is elected, and is told of a run on {string} that has {begun}', function (this: CopyWorld, endpoint: string, hasBegun: boolean) {
	startLeader(this);
	this.dispatcher.adopt(entry, {
		claim: createClaim({id: 'old', model: 'hot', ...createPrompt('p,q')}), endpoint, ageMs: 50, hasBegun,
	}, this.now);
});

When('{int} ms have gone by', function (this: CopyWorld, ms: number) {
	this.now += ms;
});

/** Has fresh parts read by A, and then a prompt with them sent elsewhere; returns its decision. */
const copyFresh = (world: CopyWorld): Assigned => {
	const parts = `p-${world.nextId},q-${world.nextId}`;
	read(world, 'A', parts);
	occupy(world, 'A');
	const decision = decide(world, createPrompt(parts));
	free(world, 'A');
	assert.notEqual(decision.endpoint, 'A');
	return decision;
};

When('{int} copies of fresh parts bring {word}', function (this: CopyWorld, count: number, brought: string) {
	Array.from({length: count}).forEach(() => {
		const {id, copy} = copyFresh(this);
		this.now += brought === 'all' && copy ? 100 : 207;
		report(this, id, RunEventKind.FirstByte, RunEventKind.Completed);
	});
});

Then('a further copy of fresh parts is made', function (this: CopyWorld) {
	assert.equal(copyFresh(this).copy?.source, 'A');
});

Then('a further copy of fresh parts is not made', function (this: CopyWorld) {
	assert.equal(copyFresh(this).copy, undefined);
});

Then('a prompt with parts {string} copies {int} tokens from {string}', function (this: CopyWorld, parts: string, tokens: number, source: string) {
	this.last = decide(this, createPrompt(parts));
	assert.deepEqual(this.last.copy, {source, tokens});
});

Then('a prompt with parts {string} copies {int} tokens from the engine before', function (this: CopyWorld, parts: string, tokens: number) {
	const source = this.last.endpoint;
	this.last = decide(this, createPrompt(parts));
	assert.deepEqual(this.last.copy, {source, tokens});
});

Then('a prompt with parts {string} on another engine copies {int} tokens from {string}', function (this: CopyWorld, parts: string, tokens: number, source: string) {
	addEngine(this, {id: 'E', failureDomain: 'y', copyMsPerToken: this.engines.get(source)!.copyMsPerToken});
	assert.deepEqual(sendBeside(this, source, 'E', parts).copy, {source, tokens});
});

Then('its engine keeps {int} tokens itself', function (this: CopyWorld, tokens: number) {
	assert.equal(this.last.cachedTokens, tokens);
});

const assertNoCopy = (decision: Assigned): void => {
	assert.equal(decision.copy, undefined, JSON.stringify(decision));
	assert.equal(decision.cachedTokens, 0, JSON.stringify(decision));
};

Then('a prompt with parts {string} is read without a copy', function (this: CopyWorld, parts: string) {
	['B', 'C', 'D'].forEach(engine => {
		assertNoCopy(sendBeside(this, 'A', engine, parts));
		this.dispatcher.dropModel(engine, 'hot');
	});
});

/** Sends a prompt to an engine, with only the source beside it. */
const sendBeside = (world: CopyWorld, source: string, engine: string, parts: string): Assigned => {
	const decision = decide(world, {...createPrompt(parts), excluded: others(world, engine).filter(id => !id.startsWith(source))});
	assert.equal(decision.endpoint, engine);
	return decision;
};

Then('a prompt for another adapter with parts {string} is read without a copy', function (this: CopyWorld, parts: string) {
	assertNoCopy(decide(this, {...createPrompt(parts), adapter: 'a2'}));
});

Then('a prompt with parts {string} that rules out {string} is read without a copy', function (this: CopyWorld, parts: string, engine: string) {
	assertNoCopy(decide(this, {...createPrompt(parts), excluded: [engine]}));
});

Then('of prompts with parts {string} on all other engines at once {int} copy from {string}', function (this: CopyWorld, parts: string, copies: number, source: string) {
	const decisions = others(this, source).map(engine => sendBeside(this, source, engine, parts));
	assert.equal(decisions.filter(({copy}) => copy?.source === source).length, copies);
});

Then('a prompt with parts {string} whose claim is repeated has the same decision twice', function (this: CopyWorld, parts: string) {
	const [first, second] = [1, 2].map(() => decide(this, {...createPrompt(parts), id: 'repeated'}));
	assert.equal(first!.copy?.source, 'A');
	assert.deepEqual({...second, expectedMs: 0}, {...first, expectedMs: 0});
});

Then('a copy that takes {float} ms of the links, ends after {float} ms and saves {float} ms pays:', (linkMs: number, readyMs: number, savedMs: number, table: DataTable) => {
	table.hashes().forEach(({ahead, pays}) => {
		assert.equal(String(isWorthwhile({linkMs, readyMs}, savedMs, Number(ahead))), pays);
	});
});

Then('a copy with which reading should take {float} ms and without {float} has brought {string} if it took {float} ms', (withMs: number, withoutMs: number, share: string, measuredMs: number) => {
	assert.equal(String(measureHitRate({withMs, withoutMs, measuredMs})), share);
});
