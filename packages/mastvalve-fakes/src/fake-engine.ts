/**
 * A stand-in for a model engine with the OpenAI-compatible interface: it batches continuously, caches prefixes,
 * honours priorities, resumes and cancels streams, tells its load with a lag, and takes orders, fenced or not.
 */

import {Header, readPriority} from 'mastvalve-http';
import {Priority, type Order} from 'mastvalve-types';
import {waitFor, type Random} from 'mastvalve-utils';
import type {Hono} from 'hono';
import {request} from 'undici';
import {EngineBatch, type Sequence} from './engine-batch.js';
import {EngineMemory} from './engine-memory.js';
import {breakConnection, createFakeApp, startFake} from './fake-server.js';
import {strikes, type Faults} from './faults.js';
import {PrefixCache} from './prefix-cache.js';
import {tokenAt} from './tokens.js';

/** Options of a stand-in engine. Times in ms. */
export type FakeEngineOptions = {
	listen: string;
	capacity: number;
	fenced: boolean;
	seed: number;
	minStepMs: number;
	maxStepMs: number;
	maxBatch: number;
	/** The weight store from which it loads; without one a load takes `loadMs`. */
	weightStoreUrl?: string;
	loadMs: number;
};

/** Values near those of the brief. */
export const defaultFakeEngine: FakeEngineOptions = {
	listen: '127.0.0.1:0', capacity: 300, fenced: true, seed: 1, minStepMs: 10, maxStepMs: 20, maxBatch: 16, loadMs: 300,
};

const cacheCapacity = 2000;
const cacheLagMs = 500;
const cacheLossShare = 0.1;
const loadLagMs = 300;
const blocksPerPrefillStep = 4;
const defaultMaxTokens = 32;
const sseHeaders = {'content-type': 'text/event-stream', 'cache-control': 'no-cache'};

type ChatBody = {
	model: string;
	messages?: Array<{role: string; content: string}>;
	prompt?: string;
	stream?: boolean;
	max_tokens?: number;
	max_completion_tokens?: number;
};

type Generation = {model: string; prompt: string; count: number; resumeAfter: number; priority: Priority; isChat: boolean; id: string};

/** The insides of one engine. */
class FakeEngine {
	readonly memory: EngineMemory;
	readonly batch: EngineBatch;
	private readonly cache: PrefixCache;
	private laggedLoad = 0;
	private count = 0;

	constructor(private readonly options: FakeEngineOptions, private readonly faults: Faults, private readonly random: Random) {
		this.memory = new EngineMemory(options.capacity, options.fenced);
		this.batch = new EngineBatch(options);
		this.cache = new PrefixCache(cacheCapacity, cacheLagMs, cacheLossShare, random);
	}

	readLaggedLoad(): number {
		const {size} = this.batch;
		setTimeout(() => {
			this.laggedLoad = size;
		}, loadLagMs).unref();
		return this.laggedLoad;
	}

	readCacheEvents(after: number) {
		return this.cache.read(after, performance.now());
	}

	async takeOrder(order: Order): Promise<Response> {
		if (strikes(this.faults.loseOrders, this.random)) {
			return breakConnection();
		}

		if (strikes(this.faults.delayOrders, this.random)) {
			setTimeout(() => {
				this.carryOut(order);
			}, this.faults.orderDelayMs).unref();
			return breakConnection();
		}

		const isAccepted = this.carryOut(order);
		if (strikes(this.faults.repeatOrders, this.random)) {
			this.carryOut(order);
		}

		if (strikes(this.faults.loseAnswers, this.random)) {
			return breakConnection();
		}

		return Response.json({accepted: isAccepted}, {status: isAccepted ? 202 : 409});
	}

	generate(body: ChatBody, isChat: boolean, header: (name: string) => string | undefined, signal: AbortSignal): Response | Promise<Response> {
		if (this.memory.findLoaded(body.model) === undefined) {
			return Response.json({error: {message: `model ${body.model} is not loaded`, type: 'not_found'}}, {status: 404});
		}

		this.count += 1;
		const generation: Generation = {
			model: body.model,
			prompt: body.messages ? body.messages.map(message => `${message.role}: ${message.content}`).join('\n') : (body.prompt ?? ''),
			count: body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens,
			resumeAfter: Number(header(Header.ResumeAfter) ?? 0),
			priority: readPriority(header(Header.Priority)).unwrapOr(Priority.Standard),
			isChat,
			id: `gen-${this.count}`,
		};
		return body.stream ? this.stream(generation, signal) : this.answerWhole(generation, signal);
	}

	private carryOut(order: Order): boolean {
		const {isAccepted, finish} = this.memory.carryOut(order);
		if (finish) {
			void this.load(order.model).then(finish);
		}

		return isAccepted;
	}

	private async load(model: string): Promise<void> {
		const {weightStoreUrl, loadMs} = this.options;
		if (weightStoreUrl === undefined) {
			await waitFor(loadMs * this.faults.loadSlowdown);
			return;
		}

		const res = await request(`${weightStoreUrl}/weights/${model}`, {headersTimeout: 0, bodyTimeout: 0});
		await res.body.dump();
	}

	private start(generation: Generation, emit: (index: number) => void, end: () => void): Sequence {
		const {cached, total} = this.cache.store(generation.model, generation.prompt, performance.now());
		let index = generation.resumeAfter;
		const sequence: Sequence = {
			priority: generation.priority,
			prefillSteps: Math.ceil((total - cached) / blocksPerPrefillStep),
			remaining: generation.count - generation.resumeAfter,
			emit() {
				emit(index);
				index += 1;
			},
			end,
		};
		this.batch.add(sequence);
		return sequence;
	}

	private stream(generation: Generation, signal: AbortSignal): Response {
		const encoder = new TextEncoder();
		const breakAt = strikes(this.faults.breakStreams, this.random) ? generation.resumeAfter + this.faults.breakAfterTokens : Number.POSITIVE_INFINITY;
		const body = new ReadableStream<Uint8Array>({
			start: controller => {
				const send = (data: string) => {
					controller.enqueue(encoder.encode(`data: ${data}\n\n`));
				};

				const sequence = this.start(generation, index => {
					if (signal.aborted) {
						this.batch.cancel(sequence);
					} else if (index >= breakAt) {
						this.batch.cancel(sequence);
						controller.error(new Error('broken on demand'));
					} else {
						send(JSON.stringify(toChunk(generation, tokenAt(generation.model, generation.prompt, index), undefined)));
					}
				}, () => {
					if (!signal.aborted) {
						send(JSON.stringify(toChunk(generation, '', 'stop')));
						send('[DONE]');
						controller.close();
					}
				});
				signal.addEventListener('abort', () => {
					this.batch.cancel(sequence);
				});
			},
		});
		return new Response(body, {headers: sseHeaders});
	}

	private async answerWhole(generation: Generation, signal: AbortSignal): Promise<Response> {
		const tokens: string[] = [];
		await new Promise<void>(resolve => {
			const sequence = this.start(generation, index => {
				tokens.push(tokenAt(generation.model, generation.prompt, index));
			}, resolve);
			signal.addEventListener('abort', () => {
				this.batch.cancel(sequence);
				resolve();
			});
		});
		return Response.json(toWholeAnswer(generation, tokens.join('')));
	}
}

const toChunk = ({id, model, isChat}: Generation, text: string, finishReason: string | undefined) => ({
	id,
	object: isChat ? 'chat.completion.chunk' : 'text_completion',
	created: 0,
	model,
	choices: [{index: 0, ...(isChat ? {delta: text === '' ? {} : {content: text}} : {text}), finish_reason: finishReason}],
});

const toWholeAnswer = ({id, model, isChat, count, prompt}: Generation, text: string) => ({
	id,
	object: isChat ? 'chat.completion' : 'text_completion',
	created: 0,
	model,
	choices: [{index: 0, ...(isChat ? {message: {role: 'assistant', content: text}} : {text}), finish_reason: 'stop'}],
	usage: {prompt_tokens: prompt.length, completion_tokens: count, total_tokens: prompt.length + count},
});

const addRoutes = (app: Hono, engine: FakeEngine): void => {
	app.get('/admin/status', c => {
		engine.memory.raiseFloor({term: Number(c.req.query('term') ?? 0), sequence: Number(c.req.query('sequence') ?? 0)});
		return c.json(engine.memory.describe());
	});
	app.post('/admin/orders', async c => engine.takeOrder(await c.req.json<Order>()));
	app.get('/admin/load', c => c.json({running: engine.readLaggedLoad()}));
	app.get('/admin/cache-events', c => c.json(engine.readCacheEvents(Number(c.req.query('after') ?? 0))));
	app.get('/admin/account', c => c.json({
		violations: engine.memory.violations, moves: engine.memory.moves, used: engine.memory.used, running: engine.batch.size,
	}));
	app.post('/v1/chat/completions', async c => engine.generate(await c.req.json<ChatBody>(), true, name => c.req.header(name), c.req.raw.signal));
	app.post('/v1/completions', async c => engine.generate(await c.req.json<ChatBody>(), false, name => c.req.header(name), c.req.raw.signal));
};

/** Starts a stand-in engine. */
export const startFakeEngine = async (options: Partial<FakeEngineOptions>) => {
	const full = {...defaultFakeEngine, ...options};
	const {app, faults, random} = createFakeApp(full.seed);
	addRoutes(app, new FakeEngine(full, faults, random));
	return startFake(app, full.listen, faults);
};
