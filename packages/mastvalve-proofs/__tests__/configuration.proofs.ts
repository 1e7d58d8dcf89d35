/**
 * Proofs of properties 7 and 8 beyond the log: adoption, racing operators, draining.
 */

import {strict as assert} from 'node:assert';
import {setImmediate} from 'node:timers/promises';
import fc from 'fast-check';
import {ConfigurationStore, createEmptyConfiguration, defaultAdoptionRules} from 'mastvalve-configuration';
import {CommandKind, ControlMachine, createClaimLimits} from 'mastvalve-control';
import {confirmPlan, makePlan, type Plan} from 'mastvalve-intents';
import {EndpointGate} from 'mastvalve-sidecar';
import {
	Priority, ServiceKind, type Configuration, type ConfigurationUpdate, type Intent,
} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

const createIntent = (name: string): Intent => ({services: [{name, kind: ServiceKind.Plain, notRepeated: []}], models: [], events: []});

const adoptionProof: Proof = {
	property: Property.Configuration,
	failure: 'updates from upstreams that are behind, repeated, reordered, with gaps',
	scenario: 'a process never takes an older configuration, and holds exactly what was committed at its revision',
	twin: 'whatever comes last is taken',
	run: async (variant, run) => checkProperty(
		fc.record({names: fc.array(fc.nat(5), {minLength: 2, maxLength: 20}), asks: fc.array(fc.record({from: fc.nat(20), upTo: fc.nat(20)}), {minLength: 2, maxLength: 20})}),
		({names, asks}) => {
			const history = names.reduce<Configuration[]>((made, name, index) => {
				const before = made.at(-1) ?? createEmptyConfiguration('c');
				const service = {name: `s${name}`, kind: ServiceKind.Plain, notRepeated: [`POST /${index}`]};
				return [...made, {...before, revision: index + 1, services: {...before.services, [service.name]: service}}];
			}, [createEmptyConfiguration('c')]);
			const updates = asks.flatMap(({from, upTo}): ConfigurationUpdate[] => {
				const upstream = new ConfigurationStore(defaultAdoptionRules, 5);
				history.slice(0, 1 + (upTo % history.length)).forEach(configuration => {
					upstream.publish(configuration);
				});
				const update = upstream.readUpdateAfter(from - 1);
				return update ? [update] : [];
			});
			const rules = variant === Variant.Broken ? {isNewer: () => true} : defaultAdoptionRules;
			const store = new ConfigurationStore(rules);
			updates.forEach(update => {
				const before = store.revision;
				store.adopt(structuredClone(update));
				assert.ok(store.revision >= before, `went back from ${before} to ${store.revision}`);
				assert.deepEqual(store.current?.services, history[store.revision]?.services);
			});
		},
		{...run, variant},
	),
};

/** Confirms whatever version the plan rests on. */
const confirmBlindly: typeof confirmPlan = (configuration, plan, revision) => confirmPlan(configuration, makePlan(configuration, plan.intent), revision);

const raceProof: Proof = {
	property: Property.Configuration,
	failure: 'operators race with equal versions and resend',
	scenario: 'of plans with equal versions one is confirmed, and a resent request gets its first answer',
	twin: 'a plan is confirmed whatever version it rests on',
	run: async (variant, run) => checkProperty(
		fc.array(fc.record({operator: fc.nat(3), isResent: fc.boolean()}), {minLength: 2, maxLength: 30}),
		steps => {
			const machine = new ControlMachine('c', createClaimLimits(1000));
			let loose = machine.configuration;
			const confirmedOn = new Map<number, string>();
			const answers = new Map<string, string>();
			const plans = Array.from({length: 4}, (_, operator) => makePlan(machine.configuration, createIntent(`s${operator}`)));
			plans.forEach((plan, index) => {
				machine.apply({kind: CommandKind.StateIntent, at: 1, intent: plan.intent}, index + 1);
			});
			steps.forEach(({operator, isResent}, index) => {
				const plan = assumeType<Plan>(plans[operator]);
				const requestId = isResent ? `r${operator}` : `r${operator}-${index}`;
				if (variant === Variant.Broken) {
					confirmBlindly(loose, plan, 10 + index).map(next => {
						loose = next;
						assert.ok(!confirmedOn.has(plan.baseVersion), 'two plans of one version were confirmed');
						confirmedOn.set(plan.baseVersion, plan.id);
						return next;
					});
					return;
				}

				const answer = machine.apply({
					kind: CommandKind.ConfirmPlan, at: 1, planId: plan.id, requestId,
				}, 10 + index);
				const text = JSON.stringify(answer);
				assert.equal(answers.get(requestId) ?? text, text, 'a resent request got another answer');
				answers.set(requestId, text);
				if (answer.isOk && (confirmedOn.get(plan.baseVersion) ?? plan.id) !== plan.id) {
					assert.fail('two plans of one version were confirmed');
				}

				if (answer.isOk) {
					confirmedOn.set(plan.baseVersion, plan.id);
				}
			});
			assert.ok(machine.configuration.version <= 1);
		},
		{...run, variant},
	),
};

const drainProof: Proof = {
	property: Property.PlannedStop,
	failure: 'a planned stop while requests run and wait',
	scenario: 'a sidecar ends only when everything that it took has ended',
	twin: 'it ends when nothing runs, whoever waits',
	run: async (variant, run) => checkProperty(
		fc.record({requests: fc.integer({min: 1, max: 12}), maxRunning: fc.integer({min: 1, max: 3}), order: fc.array(fc.nat(100), {minLength: 12, maxLength: 12})}),
		async ({requests, maxRunning, order}) => {
			let now = 0;
			const gate = new EndpointGate({
				clock: {now: () => now, wall: () => now}, maxRunning, maxQueued: 20, isReady: () => true,
			});
			const taken = Array.from({length: requests}, (_, index) => ({
				id: `r${index}`, priority: Priority.Standard, arrivedAt: 0, deadlineAt: 1e9, model: undefined,
			}));
			const running: typeof taken = [];
			const entering = taken.map(async request => {
				const entered = await gate.enter(request, new AbortController().signal);
				assert.ok(entered.isOk());
				running.push(request);
			});
			let ended = 0;
			let endedAtStop: number | undefined;
			const stop = variant === Variant.Broken
				? async () => {
					endedAtStop = gate.queue.runningCount === maxRunning ? ended : undefined;
				}
				: async () => {
					await gate.waitUntilIdle();
					endedAtStop = ended;
				};

			const stopping = stop();
			for (const pick of order.slice(0, requests)) {
				// Lets those that were admitted go on.
				// eslint-disable-next-line no-await-in-loop
				await setImmediate();
				now += 1;
				const [finished] = running.splice(pick % Math.max(1, running.length), 1);
				ended += 1;
				gate.leave(assumeType<(typeof taken)[number]>(finished));
			}

			await Promise.all([...entering, stopping]);
			assert.ok(endedAtStop === undefined || endedAtStop === requests, `stopped after ${endedAtStop ?? 0} of ${requests}`);
		},
		{...run, variant},
	),
};

/** The proofs. */
export const configurationProofs: Proof[] = [adoptionProof, raceProof, drainProof];
