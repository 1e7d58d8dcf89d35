/**
 * Chooses an engine for each request of all entries, with exact knowledge of what was assigned before.
 *
 * An entry by itself learns of an engine's load only from the answers to its own requests. With 26 entries and four requests a second
 * and engine this information is seconds old, so the choice is no better than a random one. The leader counts the work of all entries.
 * Its state isn't persisted: a new leader asks the entries for their runs in progress, and entries that reach no leader choose by
 * themselves.
 */

import {minBy} from 'mastvalve-utils';
import {CandidateEstimator} from './candidate-estimator.js';
import type {DispatchClaim} from './dispatch-claim.js';
import {DispatchDecisionKind, type DispatchDecision} from './dispatch-decision.js';
import type {EngineRun} from './engine-run.js';
import {EngineStates, type ListHolders} from './engine-states.js';
import {EngineSuspicions} from './engine-suspicions.js';
import {EntryContacts} from './entry-contacts.js';
import {estimateAssignmentCost, estimateFirstByteMs, type AssignmentInput} from './estimate-cost.js';
import {LateBinding} from './late-binding.js';
import {OutputSpeed} from './output-speed.js';
import {listPrefixes} from './prompt-cache.js';
import {PromptCopies, type CopyReading} from './prompt-copies.js';
import {ReadSpeed} from './read-speed.js';
import {RunEventKind, type RunEvent, type RunSnapshot} from './run-report.js';
import {RunTable} from './run-table.js';
import type {MeasuredModelWork} from './work-meter.js';

export type DispatcherOptions = {
	/** Lists the engines that hold the model and adapter of a claim and accept requests. */
	listHolders: ListHolders;
	/** Whether an engine is still known. */
	isKnown: (engine: string) => boolean;
	/** Whether claims wait at the leader while engines have enough to read; otherwise each claim is decided at once. */
	hasQueue?: boolean;
};

/** Time after a caller's deadline after which its run can't be in progress any more, ms. */
const runExpiryMs = 1000;
/** Returns when a run can't be in progress any more, ms: an answer that has begun may take longer than its caller waits for the first byte. */
const computeExpiry = ({remainingMs, endMs = remainingMs}: DispatchClaim, now: number): number => now + endMs + runExpiryMs;

const decideRun = ({claim: {id}, engine, copy}: EngineRun, expectedMs: number, cachedTokens: number): DispatchDecision => ({
	id, kind: DispatchDecisionKind.Assigned, endpoint: engine, expectedMs, cachedTokens, ...(copy ? {copy: {source: copy.source, tokens: copy.tokens}} : {}),
});

/** Times are monotonic, ms. */
export class Dispatcher {
	private readonly engines = new EngineStates();
	private readonly contacts = new EntryContacts();
	private readonly speed = new ReadSpeed();
	private readonly outputSpeed = new OutputSpeed();
	private readonly suspicions = new EngineSuspicions();
	private readonly copies = new PromptCopies();
	private readonly runs = new RunTable(this.engines, this.speed);
	private readonly estimator: CandidateEstimator;
	private readonly lateBinding: LateBinding | undefined;

	constructor(private readonly options: DispatcherOptions) {
		const {listHolders} = options;
		const {engines, speed, outputSpeed, suspicions, copies} = this;
		this.estimator = new CandidateEstimator({
			listHolders, engines, speed, outputSpeed, suspicions, copies,
		});
		if (options.hasQueue) {
			this.lateBinding = new LateBinding({
				describe: (claim, now) => this.estimator.list(claim, now),
				assign: (waiting, input, now) => this.assign(waiting, input, now),
			});
		}
	}

	/** Number of claims that wait for an engine. */
	get waitingCount(): number {
		return this.lateBinding?.waitingCount ?? 0;
	}

	/** Number of runs in progress. */
	get runCount(): number {
		return this.runs.size;
	}

	/** Number of entries that have called recently or have runs in progress. */
	get entryCount(): number {
		return this.contacts.size;
	}

	/** Returns the work of a service's models; undefined if none was claimed. */
	listWork(service: string, now: number): MeasuredModelWork[] | undefined {
		return this.runs.listWork(service, now);
	}

	/** Returns how fast an engine works: 1 is the mean of its service, 0.5 half as fast. */
	speedOf(engine: string): number {
		return 1 / this.speed.factorOf(engine);
	}

	/** Records that an entry has called. */
	recordContact(entry: string, now: number): void {
		this.contacts.record(entry, now);
	}

	/** Whether an entry has called recently. The runs of any other are unknown or dropped. */
	hasContact(entry: string): boolean {
		return this.contacts.has(entry);
	}

	/** Drops all of an entry but some runs: it has these in progress, and repeats the claims that wait. */
	retainRuns(entry: string, ids: ReadonlySet<string>, now: number): void {
		this.runs.removeWhere(run => run.entry === entry && !ids.has(run.claim.id), now);
		this.lateBinding?.dropEntries(each => each === entry);
		this.lateBinding?.recordFreedCapacity();
	}

	/** Decides a claim, or lets it wait if the dispatcher has a queue. */
	claim(entry: string, claim: DispatchClaim, now: number): DispatchDecision {
		const known = this.runs.find(claim.id);
		if (known && !claim.excluded.includes(known.engine)) {
			return decideRun(known, this.readMsOf(known, now), claim.promptTokens - known.uncachedTokens - (known.copy?.expectedTokens ?? 0));
		}

		if (known) {
			this.runs.remove(known, now);
		}

		if (this.lateBinding) {
			return this.lateBinding.claim(entry, claim, now);
		}

		const best = minBy(this.estimator.list(claim, now), input => estimateAssignmentCost(claim, input, now));
		return best ? this.assign({entry, claim}, best, now) : {id: claim.id, kind: DispatchDecisionKind.NoHolder};
	}

	/** Returns the decisions on waiting claims of an entry since its last call. */
	takeDecisions(entry: string, now: number): DispatchDecision[] {
		return this.lateBinding?.takeDecisions(entry, now) ?? [];
	}

	/** Records an event of a run. */
	record(event: RunEvent, now: number): void {
		const run = this.runs.find(event.id);
		if (!run) {
			this.lateBinding?.cancel(event.id);
			return;
		}

		this.lateBinding?.recordFreedCapacity();
		const at = now - event.ageMs;
		if (event.duration !== undefined) {
			this.speed.recordDuration(run.engine, event.duration, at);
		}

		switch (event.kind) {
			case RunEventKind.FirstByte: {
				this.recordFirstByte(run, at, now);
				break;
			}

			case RunEventKind.Completed: {
				this.recordAnswer(run, at);
				this.suspicions.recordSuccess(run.engine);
				this.runs.remove(run, now);
				break;
			}

			case RunEventKind.Failed: {
				this.suspicions.recordFailure(run.engine, now);
				this.runs.remove(run, now);
				break;
			}

			case RunEventKind.Cancelled: {
				this.runs.remove(run, now);
				break;
			}
		}
	}

	/** Adds a run that an entry had in progress before this leader was elected. */
	adopt(entry: string, {claim, endpoint, ageMs, hasBegun}: RunSnapshot, now: number): void {
		if (this.runs.has(claim.id)) {
			return;
		}

		this.recordContact(entry, now);
		const prefixes = listPrefixes(claim);
		const run: EngineRun = {
			claim, entry, engine: endpoint, prefixes, uncachedTokens: claim.promptTokens,
			assignedAt: now - ageMs, beganAt: hasBegun ? now - ageMs : undefined, expiresAt: computeExpiry(claim, now),
		};
		const {pendingMs} = this.engines.getOrCreate(endpoint).load.describePending(claim.urgency, now, each => this.readMsOf(each, now));
		this.runs.add(run, pendingMs + (hasBegun ? 0 : this.readMsOf(run, now)), now);
		this.engines.recordPrompt(endpoint, claim, prefixes, Number.POSITIVE_INFINITY);
		if (hasBegun) {
			this.engines.getOrCreate(endpoint).cache.markRead(prefixes);
		}
	}

	/** Forgets the prompts that an engine kept for a model, or for one adapter of it, that was unloaded there. */
	dropModel(engine: string, model: string, adapter?: string): void {
		this.engines.dropModel(engine, model, adapter);
	}

	/** Drops runs that can't be in progress any more, state of engines that are gone, and prompts of models that engines no longer hold. */
	sweep(now: number): void {
		const {isKnown, listHolders} = this.options;
		this.runs.removeWhere(({entry, engine, expiresAt}) => now >= expiresAt || this.contacts.isSilent(entry, now) || !isKnown(engine), now);
		this.engines.listEngines().filter(id => !isKnown(id)).forEach(id => {
			this.dropEngine(id);
		});
		this.contacts.dropSilent(now);
		this.engines.dropUnheldPrompts(listHolders);
		this.lateBinding?.dropEntries(entry => this.contacts.isSilent(entry, now));
		this.lateBinding?.recordFreedCapacity();
	}

	private dropEngine(id: string): void {
		this.engines.dropEngine(id);
		this.speed.dropEngine(id);
		this.suspicions.dropEngine(id);
		this.copies.dropEngine(id);
	}

	private assign({entry, claim}: {entry: string; claim: DispatchClaim}, input: AssignmentInput, now: number): DispatchDecision {
		const {candidate, load, readMs, cachedTokens, pending, copy} = input;
		const prefixes = listPrefixes(claim);
		const run: EngineRun = {
			claim, entry, engine: candidate.id, prefixes, uncachedTokens: Math.max(0, claim.promptTokens - cachedTokens - (copy?.expectedTokens ?? 0)), copy,
			assignedAt: now, beganAt: undefined, expiresAt: computeExpiry(claim, now),
		};
		this.runs.add(run, pending.pendingMs + readMs, now);
		this.copies.begin(run);
		this.engines.recordPrompt(candidate.id, claim, prefixes, candidate.tokenCapacity - load.ownTokens);
		return decideRun(run, estimateFirstByteMs(input), cachedTokens);
	}

	private recordFirstByte(run: EngineRun, at: number, now: number): void {
		if (run.beganAt !== undefined) {
			return;
		}

		const readMs = this.runs.recordFirstByte(run, at, now);
		if (run.copy) {
			this.recordCopy(run, run.copy.source, {readAt: at, readMs, msPerToken: this.speed.msPerToken(run.engine, run.claim.model, now)}, now);
			return;
		}

		this.speed.recordRead({
			engine: run.engine, model: run.claim.model, tokens: run.uncachedTokens, ms: readMs,
		}, now);
	}

	/** The time to read a prompt after a copy depends on the engine's speed and on what the copy brought. It is used to learn the latter only. */
	private recordCopy(run: EngineRun, source: string, reading: CopyReading, now: number): void {
		if (this.copies.recordRead(run, reading, now)) {
			this.engines.find(source)?.cache.markUnread(run.prefixes);
		}
	}

	private recordAnswer({claim, engine, beganAt}: EngineRun, at: number): void {
		if (beganAt !== undefined && claim.outputTokens > 0) {
			this.outputSpeed.record((at - beganAt) / claim.outputTokens / this.speed.factorOf(engine));
		}
	}

	private readMsOf({uncachedTokens, engine, claim}: EngineRun, now: number): number {
		return uncachedTokens * this.speed.msPerToken(engine, claim.model, now);
	}
}
