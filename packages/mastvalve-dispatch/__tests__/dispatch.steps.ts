/**
 * Steps for the choice of engines.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	Dispatcher, DispatchDecisionKind, RunEventKind, type DispatchClaim, type DispatchDecision,
} from '../src/index.js';
import {createClaim} from './__fixtures__/workloads.js';

type Engine = {models: string[]; isSilent: boolean; isGone: boolean};

type DispatchWorld = World & {
	engines: Map<string, Engine>;
	tokenCapacity: number;
	dispatcher: Dispatcher;
	decisions: DispatchDecision[];
	prompt: DispatchClaim;
	nextId: number;
	now: number;
};

const entry = 'entry-0';
const partTokens = [2000, 4300];
const ownTokens = 500;

const createDispatcher = (world: DispatchWorld): Dispatcher => new Dispatcher({
	listHolders: ({model}) => [...world.engines].filter(([, {models, isGone}]) => !isGone && models.includes(model))
		.map(([id, {isSilent}]) => ({
			id, isSilent, slots: 200, tokenCapacity: world.tokenCapacity,
		})),
	isKnown: id => world.engines.get(id)?.isGone === false,
});

const others = (world: DispatchWorld, engine: string): string[] => [...world.engines.keys()].filter(id => id !== engine);

const decide = (world: DispatchWorld, claim: Partial<DispatchClaim> & {model: string}): DispatchDecision => {
	world.nextId += 1;
	world.dispatcher.recordContact(entry, world.now);
	return world.dispatcher.claim(entry, createClaim({id: `run-${world.nextId}`, ...claim}), world.now);
};

const report = (world: DispatchWorld, {id}: DispatchDecision, kind: RunEventKind, duration?: number): void => {
	world.dispatcher.record({
		id, kind, ageMs: 0, duration,
	}, world.now);
};

const serve = (world: DispatchWorld, decision: DispatchDecision): void => {
	report(world, decision, RunEventKind.FirstByte);
	report(world, decision, RunEventKind.Completed);
};

const createPrompt = (model: string, parts: string): Partial<DispatchClaim> & {model: string} => ({
	model, promptParts: parts.split(',').map((id, index) => ({id, tokens: partTokens[index]!})), promptTokens: 6300 + ownTokens, outputTokens: 50,
});

const assertAssigned = (decision: DispatchDecision, engines: string[]): void => {
	assert.ok(decision.kind === DispatchDecisionKind.Assigned && engines.includes(decision.endpoint), JSON.stringify(decision));
};

const findTokens = (world: DispatchWorld, prompt: Partial<DispatchClaim> & {model: string}, tokens: number, engine: string): void => {
	const decision = decide(world, prompt);
	assertAssigned(decision, [engine]);
	assert.equal(decision.kind === DispatchDecisionKind.Assigned && decision.cachedTokens, tokens);
	serve(world, decision);
};

const addEngines = (world: DispatchWorld, engines: string, model: string): void => {
	world.engines ??= new Map();
	world.tokenCapacity ??= 167_000;
	world.nextId = 0;
	world.now = 10_000;
	engines.split(',').forEach(id => {
		world.engines.set(id, {models: [model], isSilent: false, isGone: false});
	});
	world.dispatcher = createDispatcher(world);
};

Given('engines {string} that hold {string}', function (this: DispatchWorld, engines: string, model: string) {
	addEngines(this, engines, model);
});

Given('engines {string} that hold {string} and keep {int} tokens', function (this: DispatchWorld, engines: string, model: string, tokens: number) {
	this.tokenCapacity = tokens;
	addEngines(this, engines, model);
});

Given('the heartbeats of {string} are overdue', function (this: DispatchWorld, engine: string) {
	this.engines.get(engine)!.isSilent = true;
});

When('{int} claims of {string} arrive at once', function (this: DispatchWorld, count: number, model: string) {
	this.decisions = Array.from({length: count}, () => decide(this, {model}));
});

When('a claim of {string} arrives {int} ms later', function (this: DispatchWorld, model: string, ms: number) {
	this.now += ms;
	this.decisions = [decide(this, {model})];
});

When('a claim of {string} fails on {string}', function (this: DispatchWorld, model: string, engine: string) {
	report(this, decide(this, {model, excluded: others(this, engine)}), RunEventKind.Failed);
});

When('a new leader adopts {int} runs of {string} on {string}', function (this: DispatchWorld, count: number, model: string, engine: string) {
	this.dispatcher = createDispatcher(this);
	Array.from({length: count}).forEach((_, index) => {
		this.dispatcher.adopt(entry, {
			claim: createClaim({id: `old-${index}`, model}), endpoint: engine, ageMs: 50, hasBegun: index > 0,
		}, this.now);
	});
});

When('a prompt of {string} with parts {string} is served by {string}', function (this: DispatchWorld, model: string, parts: string, engine: string) {
	this.prompt = createClaim({id: '', ...createPrompt(model, parts), excluded: others(this, engine)});
	serve(this, decide(this, {...this.prompt, id: `run-${this.nextId + 1}`}));
});

When('{string} is gone for a sweep', function (this: DispatchWorld, engine: string) {
	this.engines.get(engine)!.isGone = true;
	this.dispatcher.sweep(this.now);
});

When('{string} is gone for a sweep and comes back', function (this: DispatchWorld, engine: string) {
	decide(this, {model: 'hot'});
	this.engines.get(engine)!.isGone = true;
	this.dispatcher.sweep(this.now);
	this.engines.get(engine)!.isGone = false;
});

When('{string} is unloaded from {string} for a sweep', function (this: DispatchWorld, model: string, engine: string) {
	this.engines.get(engine)!.models = [];
	this.dispatcher.sweep(this.now);
	this.engines.get(engine)!.models = [model];
});

When('the leader learns that {string} was unloaded from {string}', function (this: DispatchWorld, model: string, engine: string) {
	this.dispatcher.dropModel(engine, model);
});

When('an answer of {string} reports that it works {float} times slower', function (this: DispatchWorld, engine: string, duration: number) {
	report(this, decide(this, {model: 'hot', pauseMs: undefined, excluded: others(this, engine)}), RunEventKind.Completed, duration);
});

const sendPrompts = (world: DispatchWorld, count: number, promptTokens: number, engine: string): DispatchDecision[] => Array.from({length: count}, () => decide(world, {
	model: 'hot', promptTokens, pauseMs: undefined, excluded: others(world, engine),
}));

When('{int} prompts of {int} tokens are queued on {string}', function (this: DispatchWorld, count: number, promptTokens: number, engine: string) {
	sendPrompts(this, count, promptTokens, engine);
});

When('{int} prompts of {int} tokens are read on {string}', function (this: DispatchWorld, count: number, promptTokens: number, engine: string) {
	sendPrompts(this, count, promptTokens, engine).forEach(decision => {
		serve(this, decision);
	});
});

When('{int} ms pass without an answer', function (this: DispatchWorld, ms: number) {
	this.now += ms;
});

When('a prompt waits on {string} while {int} more urgent ones are read there, one each {int} ms', function (this: DispatchWorld, engine: string, count: number, ms: number) {
	const excluded = others(this, engine);
	decide(this, {model: 'hot', urgency: 3, excluded});
	Array.from({length: count}).forEach(() => {
		const urgent = decide(this, {model: 'hot', excluded});
		this.now += ms;
		serve(this, urgent);
	});
	decide(this, {model: 'hot', excluded});
});

When('{int} runs of {string} with the same parts generate on {string}', function (this: DispatchWorld, count: number, model: string, engine: string) {
	Array.from({length: count}).forEach(() => {
		report(this, decide(this, {...createPrompt(model, 'p,q'), excluded: others(this, engine)}), RunEventKind.FirstByte);
	});
});

Then('all are assigned to {string}', function (this: DispatchWorld, engine: string) {
	this.decisions.forEach(decision => {
		assertAssigned(decision, [engine]);
	});
});

Then('it is assigned to one of {string}', function (this: DispatchWorld, engines: string) {
	assertAssigned(this.decisions[0]!, engines.split(','));
});

Then('the next claim of {string} is assigned to {string}', function (this: DispatchWorld, model: string, engine: string) {
	assertAssigned(decide(this, {model}), [engine]);
});

Then('it has no holder', function (this: DispatchWorld) {
	assert.equal(this.decisions[0]!.kind, DispatchDecisionKind.NoHolder);
});

Then('{int} runs are in progress {int} ms later', function (this: DispatchWorld, count: number, ms: number) {
	this.dispatcher.sweep(this.now + ms);
	assert.equal(this.dispatcher.runCount, count);
});

Then('no entry is remembered', function (this: DispatchWorld) {
	assert.equal(this.dispatcher.entryCount, 0);
});

Then('the same prompt finds {int} tokens on {string}', function (this: DispatchWorld, tokens: number, engine: string) {
	findTokens(this, {...this.prompt, excluded: [], id: `run-${this.nextId + 1}`}, tokens, engine);
});

Then('a prompt with parts {string} finds {int} tokens on {string}', function (this: DispatchWorld, parts: string, tokens: number, engine: string) {
	findTokens(this, createPrompt('hot', parts), tokens, engine);
});

const engineOf = (decision: DispatchDecision): string | undefined => (decision.kind === DispatchDecisionKind.Assigned ? decision.endpoint : undefined);

When('a claim of {string} is repeated {int} times with the same id', function (this: DispatchWorld, model: string, count: number) {
	this.decisions = Array.from({length: count}, () => decide(this, {model, id: 'repeated'}));
});

When('a claim of {string} is repeated with the same id and without its engine', function (this: DispatchWorld, model: string) {
	const first = decide(this, {model, id: 'repeated'});
	this.decisions = [first, decide(this, {model, id: 'repeated', excluded: [engineOf(first)!]})];
});

Then('all have the same engine', function (this: DispatchWorld) {
	assert.equal(new Set(this.decisions.map(decision => engineOf(decision))).size, 1);
});

Then('the two have different engines', function (this: DispatchWorld) {
	assert.equal(new Set(this.decisions.map(decision => engineOf(decision))).size, 2);
});

When('a claim of {string} arrives whose caller waits {int} ms for the first byte and {int} ms for the end', function (this: DispatchWorld, model: string, remainingMs: number, endMs: number) {
	decide(this, {model, remainingMs, endMs});
});

Then('{int} runs are in progress after {int} ms with calls', function (this: DispatchWorld, count: number, ms: number) {
	this.now += ms;
	this.dispatcher.recordContact(entry, this.now);
	this.dispatcher.sweep(this.now);
	assert.equal(this.dispatcher.runCount, count);
});
