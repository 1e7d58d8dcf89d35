/**
 * Runs in progress, with the load that they put on engines and the work that they add to their models.
 */

import type {EngineRun} from './engine-run.js';
import type {EngineStates} from './engine-states.js';
import {estimatePauseProbability} from './estimate-cost.js';
import type {ReadSpeed} from './read-speed.js';
import {WorkMeter, type MeasuredModelWork} from './work-meter.js';

/** Times are monotonic, ms. */
export class RunTable {
	private readonly runs = new Map<string, EngineRun>();
	private readonly work = new WorkMeter();
	/** Shortest objective for pauses that a claim has had, ms: prompts without one interrupt the answers of others too. */
	private shortestPauseMs: number | undefined;

	constructor(private readonly engines: EngineStates, private readonly speed: ReadSpeed) {}

	get size(): number {
		return this.runs.size;
	}

	has(id: string): boolean {
		return this.runs.has(id);
	}

	find(id: string): EngineRun | undefined {
		return this.runs.get(id);
	}

	/** Returns the work of a service's models; undefined if none was claimed. */
	listWork(service: string, now: number): MeasuredModelWork[] | undefined {
		return this.work.list(service, now);
	}

	/** Adds a run; `pendingMs` is the time until its engine has read it and all prompts before it. */
	add(run: EngineRun, pendingMs: number, now: number): void {
		const {claim, engine, beganAt, uncachedTokens} = run;
		this.work.recordPrompt(claim, beganAt === undefined ? uncachedTokens * this.speed.usualMsPerToken(claim.model) : 0, now);
		this.work.countAnswers(claim, beganAt === undefined ? 0 : 1, now);
		this.runs.set(claim.id, run);
		this.shortestPauseMs = Math.min(claim.pauseMs ?? Number.POSITIVE_INFINITY, this.shortestPauseMs ?? Number.POSITIVE_INFINITY);
		this.engines.getOrCreate(engine).load.add(run, estimatePauseProbability({pauseMs: this.shortestPauseMs}, pendingMs), now);
	}

	/** Records that the prompt of a run was read; returns how long that took without the time in the queue, ms. */
	recordFirstByte(run: EngineRun, at: number, now: number): number {
		const {load, cache} = this.engines.getOrCreate(run.engine);
		const readMs = load.recordFirstByte(run, at);
		this.work.countAnswers(run.claim, 1, now);
		cache.markRead(run.prefixes);
		return readMs;
	}

	/** Removes a run that has ended. */
	remove(run: EngineRun, now: number): void {
		this.work.countAnswers(run.claim, run.beganAt === undefined ? 0 : -1, now);
		this.runs.delete(run.claim.id);
		this.engines.getOrCreate(run.engine).load.remove(run);
	}

	/** Removes all runs of which a condition holds. */
	removeWhere(condition: (run: EngineRun) => boolean, now: number): void {
		[...this.runs.values()].filter(run => condition(run)).forEach(run => {
			this.remove(run, now);
		});
	}
}
