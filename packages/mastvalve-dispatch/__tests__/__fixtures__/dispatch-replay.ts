/**
 * Replays requests of many entries through one dispatcher and small engines, in virtual time.
 */

import {createRandom} from 'mastvalve-utils';
import {
	Dispatcher, DispatchDecisionKind, type DispatchDecision, type DispatcherOptions, type RunEvent,
} from '../../src/index.js';
import {ReplayedEngine, type EngineShape} from './replayed-engine.js';
import type {ReplayedRun} from './replayed-run.js';

/** An entry sends its claims and events together, ms. */
const callPeriodMs = 10;
const sweepPeriodMs = 1000;

type Sent = {event: Omit<RunEvent, 'ageMs'>; at: number};
type Entry = {name: string; claims: ReplayedRun[]; events: Sent[]};

export class DispatchReplay {
	now = 0;
	readonly engines: ReplayedEngine[];
	readonly dispatcher: Dispatcher;
	private readonly byId: Map<string, ReplayedEngine>;
	private readonly entries: Entry[];
	private readonly runs = new Map<string, ReplayedRun>();
	private readonly entryOf = new Map<string, Entry>();

	constructor(entryCount: number, shapes: EngineShape[], seed: number, options: Partial<DispatcherOptions> = {}) {
		this.entries = Array.from({length: entryCount}, (_, index) => ({name: `entry-${index}`, claims: [], events: []}));
		const partsRead = new Set<string>();
		this.engines = shapes.map((shape, index) => new ReplayedEngine(shape, createRandom((seed * 1000) + index), partsRead, (run, event, at) => {
			this.entryOf.get(run.claim.id)!.events.push({event, at});
		}));
		this.byId = new Map(this.engines.map(engine => [engine.shape.id, engine]));
		this.dispatcher = new Dispatcher({
			listHolders: ({model}) => this.engines.filter(({shape, isGone}) => !isGone && shape.models.includes(model))
				.map(({shape}) => ({
					id: shape.id, isSilent: false, slots: shape.slots, tokenCapacity: shape.tokenCapacity, failureDomain: shape.failureDomain, copyMsPerToken: shape.copyMsPerToken,
				})),
			isKnown: id => this.byId.get(id)?.isGone === false,
			...options,
		});
	}

	/** Replays runs that are ordered by arrival, until `untilMs`. */
	play(arrivals: readonly ReplayedRun[], untilMs: number, atEachMs?: (now: number) => void): void {
		let next = 0;
		for (; this.now < untilMs; this.now += 1) {
			for (; next < arrivals.length && arrivals[next]!.arrivedAt <= this.now; next += 1) {
				this.receive(arrivals[next]!, this.entries[next % this.entries.length]!);
			}

			this.tick();
			atEachMs?.(this.now);
		}
	}

	private receive(run: ReplayedRun, entry: Entry): void {
		this.runs.set(run.claim.id, run);
		this.entryOf.set(run.claim.id, entry);
		entry.claims.push(run);
	}

	private tick(): void {
		this.engines.filter(({isGone}) => !isGone).forEach(engine => {
			engine.advance(this.now);
		});
		this.entries.filter((_, index) => (this.now + index) % callPeriodMs === 0).forEach(entry => {
			this.call(entry);
		});
		if (this.now % sweepPeriodMs === 0) {
			this.dispatcher.sweep(this.now);
		}
	}

	private call(entry: Entry): void {
		this.dispatcher.recordContact(entry.name, this.now);
		// An engine's step may end after the tick in which it began.
		const isPast = ({at}: Sent): boolean => at <= this.now;
		entry.events.filter(sent => isPast(sent)).forEach(({event, at}) => {
			this.dispatcher.record({...event, ageMs: this.now - at}, this.now);
		});
		entry.events = entry.events.filter(sent => !isPast(sent));
		entry.claims.splice(0).forEach(({claim, arrivedAt}) => {
			const waitedMs = this.now - arrivedAt;
			this.apply(this.dispatcher.claim(entry.name, {...claim, objectiveMs: claim.objectiveMs - waitedMs, remainingMs: claim.remainingMs - waitedMs}, this.now));
		});
		this.dispatcher.takeDecisions(entry.name, this.now).forEach(decision => {
			this.apply(decision);
		});
	}

	private apply(decision: DispatchDecision): void {
		const run = this.runs.get(decision.id)!;
		if (decision.kind === DispatchDecisionKind.Assigned) {
			run.sentAt = this.now;
			run.engine = decision.endpoint;
			const engine = this.byId.get(decision.endpoint)!;
			const source = decision.copy && this.byId.get(decision.copy.source);
			if (source) {
				engine.copy(run, source, this.now);
			}

			engine.submit(run, this.now);
		} else if (decision.kind === DispatchDecisionKind.Refused) {
			run.isRefused = true;
			run.retryAfterMs = decision.retryAfterMs;
		}
	}
}
