/**
 * A small engine in virtual time: reads one chunk of one prompt per step, between the tokens of the answers in its batch.
 */

import type {Random} from 'mastvalve-utils';
import {listPrefixes, PromptCache} from '../../src/prompt-cache.js';
import {RunEventKind, type RunEvent} from '../../src/run-report.js';
import type {ReplayedRun} from './replayed-run.js';

const chunkTokens = 4096;
const tokensPerMs = 38;
const stepMs = 5.5;
const tokensPerEvent = 5;
const slowFactor = 2.5;
const meanSlowMs = 600;
const meanUsualMs = 3400;
const copySetupMs = 3;

export type EngineShape = {
	id: string;
	speed: number;
	models: string[];
	slots: number;
	tokenCapacity: number;
	failureDomain?: string;
	/** Time to copy one token, ms; undefined if it can't copy. */
	copyMsPerToken?: number;
};

export class ReplayedEngine {
	/** Prompt tokens read. */
	readTokens = 0;
	/** Read tokens of parts that this engine or another one had read before. */
	readAgainTokens = 0;
	/** Tokens copied from other engines. */
	copiedTokens = 0;
	/** Whether copies from it bring nothing. */
	hasNothingToCopy = false;
	/** When the copies to and from it end, ms. */
	linkFreeAt = 0;
	isGone = false;
	cache = new PromptCache();
	/** Runs whose prompt is queued or read. */
	readonly queue: ReplayedRun[] = [];
	private batch: ReplayedRun[] = [];
	private clock = 0;
	private slowUntil: number;
	private usualUntil: number;

	constructor(
		readonly shape: EngineShape,
		private readonly random: Random,
		private readonly partsRead: Set<string>,
		private readonly emit: (run: ReplayedRun, event: Omit<RunEvent, 'ageMs'>, at: number) => void,
	) {
		// The first number of any small seed is nearly 1, so it must not enter a logarithm.
		this.usualUntil = random() * meanUsualMs;
		this.slowUntil = 0;
	}

	get isIdle(): boolean {
		return this.queue.length === 0 && this.batch.length === 0;
	}

	submit(run: ReplayedRun, now: number): void {
		this.clock = this.isIdle ? Math.max(this.clock, now) : this.clock;
		this.queue.push(run);
		this.queue.sort((a, b) => Number(b.hasStarted) - Number(a.hasStarted) || a.claim.urgency - b.claim.urgency);
	}

	/** Begins to copy parts of a prompt before it is submitted here. */
	copy(run: ReplayedRun, source: ReplayedEngine, now: number): void {
		const prefixes = listPrefixes(run.claim);
		const kept = source.hasNothingToCopy || source.isGone ? 0 : source.cache.countCachedTokens(prefixes);
		const tokens = Math.max(0, kept - this.cache.countCachedTokens(prefixes));
		run.copiedTokens = kept;
		run.copiedAt = Math.max(now, this.linkFreeAt, source.linkFreeAt) + copySetupMs + (tokens * (this.shape.copyMsPerToken ?? 0));
		this.linkFreeAt = run.copiedAt;
		source.linkFreeAt = run.copiedAt;
		this.copiedTokens += tokens;
	}

	advance(until: number): void {
		while (!this.isIdle && this.clock < until) {
			this.step();
		}
	}

	/** Tokens of running requests without their shared parts, which are kept once. */
	private get batchTokens(): number {
		return this.batch.reduce((sum, {claim}) => sum + claim.outputTokens + claim.promptTokens - claim.promptParts.reduce((parts, {tokens}) => parts + tokens, 0), 0);
	}

	private step(): void {
		const head = this.batch.length < this.shape.slots ? this.queue.find(({copiedAt}) => copiedAt <= this.clock) : undefined;
		const chunk = head ? this.readChunk(head) : 0;
		const duration = this.durationAt(this.clock);
		this.clock += (stepMs + (chunk / tokensPerMs / this.shape.speed)) * duration;
		this.batch.forEach(run => {
			this.generate(run, duration);
		});
		this.batch = this.batch.filter(({endedAt}) => endedAt === undefined);
		if (head?.unreadTokens === 0) {
			this.begin(head, duration);
		}
	}

	private readChunk(run: ReplayedRun): number {
		if (!run.hasStarted) {
			run.hasStarted = true;
			const prefixes = listPrefixes(run.claim);
			const cached = Math.max(this.cache.countCachedTokens(prefixes), run.copiedTokens);
			run.unreadTokens = run.claim.promptTokens - cached;
			this.readTokens += run.unreadTokens;
			const partTokens = prefixes.filter(({key}) => this.partsRead.has(key)).reduce((sum, {tokens}) => sum + tokens, 0);
			this.readAgainTokens += Math.max(0, partTokens - cached);
			prefixes.forEach(({key}) => {
				this.partsRead.add(key);
			});
			this.cache.record(prefixes, this.shape.tokenCapacity - this.batchTokens);
		}

		const chunk = Math.min(chunkTokens, run.unreadTokens);
		run.unreadTokens -= chunk;
		return chunk;
	}

	private begin(run: ReplayedRun, duration: number): void {
		this.queue.splice(this.queue.indexOf(run), 1);
		this.batch.push(run);
		run.beganAt = this.clock;
		run.lastEventAt = this.clock;
		this.emit(run, {
			id: run.claim.id, kind: RunEventKind.FirstByte, firstByteMs: this.clock - run.sentAt, duration,
		}, this.clock);
	}

	private generate(run: ReplayedRun, duration: number): void {
		run.generated += 1;
		const isOver = run.generated >= run.claim.outputTokens;
		if (isOver || run.generated % tokensPerEvent === 0) {
			run.longestPauseMs = Math.max(run.longestPauseMs, this.clock - run.lastEventAt);
			run.lastEventAt = this.clock;
		}

		if (isOver) {
			run.endedAt = this.clock;
			this.emit(run, {id: run.claim.id, kind: RunEventKind.Completed, duration}, this.clock);
		}
	}

	private durationAt(at: number): number {
		while (at >= this.usualUntil) {
			this.slowUntil = this.usualUntil - (Math.log(1 - this.random()) * meanSlowMs);
			this.usualUntil = this.slowUntil - (Math.log(1 - this.random()) * meanUsualMs);
		}

		return at < this.slowUntil ? slowFactor : 1;
	}
}
