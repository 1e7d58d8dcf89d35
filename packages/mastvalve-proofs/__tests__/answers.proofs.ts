/**
 * Proofs of properties 3 and 4: whole answers, and truth in "not run".
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import fc from 'fast-check';
import {
	EndpointTable, streamAnswer, tryEndpoints, type EntryRequest,
} from 'mastvalve-entry';
import {
	AdmissionDecision, AdmissionQueue, RetryBudget, type AdmissionRequest,
} from 'mastvalve-routing';
import {
	AssignmentMode, EndpointState, MastvalveError, Outcome, prioritiesByUrgency, Priority, ServiceKind, UnknownOutcomeError, type Configuration,
} from 'mastvalve-types';
import {createRandom} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

const toEvent = (index: number): string => `data: ${JSON.stringify({choices: [{delta: {content: `t${index} `}}]})}\n\n`;

const endEvents = `data: ${JSON.stringify({choices: [{delta: {}, finish_reason: 'stop'}]})}\n\ndata: [DONE]\n\n`;

type AnswerShape = {total: number; breakAfter: number | undefined; isReset: boolean; chunkSize: number};

/** An attempt's answer from a token on, which ends or breaks after some more, in chunks of any size. */
const createAnswer = (from: number, {total, breakAfter, isReset, chunkSize}: AnswerShape) => {
	const until = Math.min(total, breakAfter === undefined ? total : from + breakAfter);
	const isWhole = breakAfter === undefined || from + breakAfter >= total;
	const text = Array.from({length: until - from}, (_, index) => toEvent(from + index)).join('') + (isWhole ? endEvents : '');
	const chunks = Array.from({length: Math.ceil(text.length / chunkSize)}, (_, index) => Buffer.from(text.slice(index * chunkSize, (index + 1) * chunkSize)));
	async function * generate(): AsyncGenerator<Uint8Array> {
		yield * chunks;
		if (!isWhole && isReset) {
			throw new Error('reset');
		}
	}

	return {
		status: 200, headers: {}, body: Readable.from(generate()), cancel() {
		// Nothing to end.
		},
	};
};

const collect = async (bytes: AsyncGenerator<Uint8Array>): Promise<{text: string; isCut: boolean}> => {
	let text = '';
	try {
		for await (const chunk of bytes) {
			text += Buffer.from(chunk).toString();
		}
	} catch {
		return {text, isCut: true};
	}

	return {text, isCut: false};
};

const readTokens = (text: string): string =>
	text.split('\n').filter(line => line.startsWith('data: {"choices"')).map(line => /"content":"(?<token>[^"]*)"/v.exec(line)?.groups?.token ?? '').join('');

const streamProof: Proof = {
	property: Property.WholeAnswers,
	failure: 'streams that end early or are reset, again and again, in chunks that split events',
	scenario: 'a caller gets each token once and in order; an end mark only behind the whole answer',
	twin: 'the next attempt starts at the first token',
	run: async (variant, run) => checkProperty(
		fc.record({
			total: fc.integer({min: 1, max: 30}),
			breaks: fc.array(fc.record({after: fc.nat(12), isReset: fc.boolean()}), {maxLength: 4}),
			retries: fc.nat(4),
			chunkSize: fc.integer({min: 1, max: 90}),
		}),
		async ({total, breaks, retries, chunkSize}) => {
			let attempt = 0;
			const open = (from: number) => {
				const fault = breaks[attempt];
				attempt += 1;
				return createAnswer(from, {
					total, breakAfter: fault?.after, isReset: fault?.isReset ?? false, chunkSize,
				});
			};

			let left = retries;
			const {text, isCut} = await collect(streamAnswer(open(0), {
				resume: async tokens => ok(open(variant === Variant.Broken ? 0 : tokens)),
				mayResume() {
					left -= 1;
					return left >= 0;
				},
				onAttemptEnd: () => undefined,
				onEnd: () => undefined,
			}));
			const expected = Array.from({length: total}, (_, index) => `t${index} `).join('');
			const tokens = readTokens(text);
			assert.ok(expected.startsWith(tokens), `got "${tokens}"`);
			assert.equal(text.includes('[DONE]'), tokens === expected && !isCut, 'the end mark and the whole answer go together');
			assert.equal(isCut, !text.includes('[DONE]'), 'what isn\'t whole must be cut');
		},
		{...run, variant},
	),
};

const endpointCount = 5;

const configuration: Configuration = {
	clusterId: 'c',
	revision: 1,
	version: 1,
	services: {desk: {name: 'desk', kind: ServiceKind.Plain, notRepeated: []}},
	models: {},
	events: {},
	endpoints: Object.fromEntries(Array.from({length: endpointCount}, (_, index) => [`e${index}`, {
		id: `e${index}`, service: 'desk', failureDomain: 'a', address: '', capacity: 0, incarnation: 1, processId: '', state: EndpointState.Live,
	}])),
	placements: {
		x: {
			endpointId: 'x', incarnation: 1, assignments: [{model: 'm', mode: AssignmentMode.Resident}], loaded: [],
		},
	},
};

const createRequest = (isRepeatable: boolean): EntryRequest => ({
	requestId: 'r',
	service: 'desk',
	model: undefined,
	priority: Priority.Standard,
	deadlineAt: 1000,
	method: 'POST',
	path: '/loans',
	headers: {},
	body: undefined,
	prefixes: [],
	isRepeatable,
	signal: new AbortController().signal,
});

/** What happens at an endpoint: refused before dispatch, run and answered, run and answer lost, lost on the way there. */
enum Fate {
	Refused = 'refused',
	Answered = 'answered',
	AnswerLost = 'answer-lost',
	RequestLost = 'request-lost',
}

const outcomeProof: Proof = {
	property: Property.RefusedNotRun,
	failure: 'refusals, broken connections, lost answers, retries',
	scenario: 'what is refused as not run ran nowhere, and what may not be repeated ran once at most',
	twin: 'a broken connection is taken for "not run"',
	run: async (variant, run) => checkProperty(
		fc.record({fates: fc.array(fc.constantFrom(...Object.values(Fate)), {minLength: endpointCount, maxLength: endpointCount}), seed: fc.nat()}),
		async ({fates, seed}) => {
			let runs = 0;
			const next = [...fates];
			const result = await tryEndpoints(createRequest(false), {
				table: new EndpointTable({now: () => 0, wall: () => 0}),
				budget: new RetryBudget(1),
				clock: {now: () => 0, wall: () => 0},
				random: createRandom(seed),
				readConfiguration: () => configuration,
				recordRetry: () => undefined,
			}, async (): Promise<Result<string, MastvalveError>> => {
				const fate = next.shift();
				runs += fate === Fate.Answered || fate === Fate.AnswerLost ? 1 : 0;
				if (fate === Fate.Answered) {
					return ok('answer');
				}

				return err(fate === Fate.Refused
					? new MastvalveError('overloaded', '', {outcome: Outcome.NotRun})
					: (variant === Variant.Broken ? new MastvalveError('broken', '', {outcome: Outcome.NotRun}) : new UnknownOutcomeError('broken')));
			});
			assert.ok(runs <= 1, `it ran ${runs} times`);
			assert.ok(result.isOk() || result.error.outcome !== Outcome.NotRun || runs === 0, 'refused as not run, and it ran');
		},
		{...run, variant},
	),
};

/** An admission that puts a request back into the queue while its caller is told that it was refused. */
class LeakyQueue extends AdmissionQueue {
	override removeExpired(now: number): AdmissionRequest[] {
		const expired = super.removeExpired(now);
		expired.forEach(request => {
			super.offer({...request, deadlineAt: now + 1e6}, now, false);
		});
		return expired;
	}
}

const admissionProof: Proof = {
	property: Property.RefusedNotRun,
	failure: 'overload, deadlines that pass in the queue, displacement, callers that hang up, models not loaded yet',
	scenario: 'a request that admission gave up on is never started, and no more run than may',
	twin: 'a request is given up on and started all the same',
	run: async (variant, run) => checkProperty(
		fc.array(fc.record({
			kind: fc.constantFrom('offer', 'offer', 'offer', 'finish', 'finish', 'expire', 'expire', 'take', 'hang-up'), priority: fc.constantFrom(...prioritiesByUrgency), slack: fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 400})), pick: fc.nat(50),
		}), {minLength: 10, maxLength: 120}),
		steps => {
			const limits = {
				maxRunning: 3, maxQueued: 5, agingMs: 100, initialServiceMs: 40,
			};
			const queue = variant === Variant.Broken ? new LeakyQueue(limits) : new AdmissionQueue(limits);
			const started = new Set<string>();
			const given = new Set<string>();
			const finished = new Set<string>();
			steps.forEach(({kind, priority, slack, pick}, now) => {
				const id = `r${now}`;
				switch (kind) {
					case 'offer': {
						const answer = queue.offer({
							id, priority, arrivedAt: now, deadlineAt: now + slack, model: pick % 4 === 0 ? 'cold' : 'warm',
						}, now, pick % 4 !== 0);
						(answer.decision === AdmissionDecision.Admitted ? started : (answer.decision === AdmissionDecision.Refused ? given : new Set())).add(id);
						if (answer.displaced) {
							given.add(answer.displaced.id);
						}

						break;
					}

					case 'finish': {
						const running = [...started].filter(each => !finished.has(each));
						const chosen = running[pick % Math.max(1, running.length)];
						queue.finish(chosen ?? '', now);
						finished.add(chosen ?? '');

						break;
					}

					case 'hang-up': {
						const left = `r${pick}`;
						if (queue.remove(left)) {
							given.add(left);
						}

						break;
					}

					case 'expire': {
						queue.removeExpired(now).forEach(request => {
							given.add(request.id);
						});

						break;
					}

					case 'take': {
						queue.dequeueReady(now, model => model === 'warm' || pick % 2 === 0).forEach(request => {
							started.add(request.id);
						});
					}
				}

				assert.deepEqual([...given].filter(each => started.has(each)), [], 'given up on and started');
				assert.ok(queue.runningCount <= limits.maxRunning && queue.queuedCount <= limits.maxQueued, 'more than may');
			});
		},
		{...run, variant},
	),
};

/** The proofs. */
export const answersProofs: Proof[] = [streamProof, outcomeProof, admissionProof];
