/**
 * Entries, control and engines in virtual time, for the decision on what crashes engines: the product's quarantine of each entry and the
 * history of control, with delays between them. Requests with one part crash the engine that begins to answer them.
 */

import {
	CrashHistory, contradictionMs, type CrashReport, type FeedCursor, type SuccessReport,
} from 'mastvalve-fleet';
import {ElapsedTimes} from '../../../mastvalve-fleet-control/src/elapsed-times.js';
import {
	FleetView, RequestQuarantine, type CrashMark, type InFlightCount, type QuarantinedContent,
} from '../../src/index.js';

export type CrashPlan = {
	entries: number;
	engines: number;
	/** Requests per second with the crashing part, of sound ones, and crashes per second for another reason. */
	crashingRate: number;
	soundRate: number;
	otherCrashRate: number;
	/** Time for which the crashing part crashes nothing yet, ms. */
	soundBeforeMs: number;
	/** Whether the crashing part is the first one of its prompts. */
	isFirst: boolean;
	/** Whether engines send the head of an answer before they crash under it. */
	sendsHead: boolean;
	/** Longest time from an entry to control or back, ms. */
	maxDelayMs: number;
	restartMs: number;
	/** Changes what entries report, for broken twins. */
	alterReport: (report: CrashReport) => CrashReport;
	/** Whether entries report answers. */
	reportsSuccesses: boolean;
	random: () => number;
};

export type CrashOutcome = {
	/** Engines that crashed under the part. */
	crashes: number;
	/** Requests with the part that reached engines later than 3 s after the fifth crash. */
	late: number;
	/** Sound requests from 6 s after the fifth crash (the last, if there are fewer) on, and those of them that were refused as quarantined. */
	sound: number;
	soundRefused: number;
};

type Run = {entry: number; content: QuarantinedContent; isCrashing: boolean; mark: CrashMark; firstEventAt: number; endAt: number; hasBegun: boolean};
type Message = {at: number; deliver: () => void};

const stepMs = 10;
const msPerSecond = 1000;
const contactMs = 3000;
const durationMs = 16_000;
const warmUpMs = 1000;
const roundMs = 300;
/** Time to the first event, and lengths of answers, ms. */
const minFirstEventMs = 60;
const firstEventSpreadMs = 300;
const shortAnswerMs = 300;
const longAnswerMs = 4000;
/** Time after its first event from which an answer is past its beginning, ms. */
const beginningMs = 250;
const subjects = 20;

export class VirtualCrashes {
	private now = 0;
	private readonly history = new CrashHistory();
	private readonly due = new ElapsedTimes(() => contradictionMs);
	private revision = 0;
	private readonly views: FleetView[];
	private readonly cursors: Array<FeedCursor | undefined>;
	private readonly quarantines: RequestQuarantine[];
	private readonly engines: Array<{runs: Run[]; life: number; downUntil: number}>;
	private messages: Message[] = [];
	private requests = 0;
	private readonly crashTimes: number[] = [];
	private readonly arrivalTimes: number[] = [];
	private readonly soundTimes: Array<{at: number; isRefused: boolean}> = [];

	constructor(private readonly plan: CrashPlan) {
		const entries = Array.from({length: plan.entries});
		this.views = entries.map(() => new FleetView(() => this.now));
		this.cursors = entries.map(() => undefined);
		this.quarantines = entries.map((_, index) => new RequestQuarantine(this.views[index]!, () => this.now, report => {
			this.sendSuccess(report);
		}));
		this.engines = Array.from({length: plan.engines}, () => ({runs: [], life: 1, downUntil: 0}));
	}

	run(): CrashOutcome {
		while (this.now < durationMs) {
			this.now += stepMs;
			this.step();
		}

		const fifth = this.crashTimes[4] ?? Number.POSITIVE_INFINITY;
		const soundFrom = (this.crashTimes[4] ?? this.crashTimes.at(-1) ?? 0) + (2 * contactMs);
		const sound = this.soundTimes.filter(({at}) => at > soundFrom);
		return {
			crashes: this.crashTimes.length, late: this.arrivalTimes.filter(at => at > fifth + contactMs).length, sound: sound.length, soundRefused: sound.filter(({isRefused}) => isRefused).length,
		};
	}

	private step(): void {
		const due = this.messages.filter(({at}) => at <= this.now);
		this.messages = this.messages.filter(({at}) => at > this.now);
		due.forEach(({deliver}) => {
			deliver();
		});
		if (this.now % roundMs === 0) {
			this.runRound();
		}

		const {crashingRate, soundRate, otherCrashRate} = this.plan;
		if (this.happens(soundRate)) {
			this.arrive(this.createSound(), false);
		}

		if (this.now > warmUpMs && this.happens(crashingRate)) {
			this.arrive(this.createContent(this.plan.isFirst ? ['part-bad', 'part-common'] : ['part-common', 'part-bad']), true);
		}

		if (this.happens(otherCrashRate)) {
			this.crash(Math.floor(this.plan.random() * this.engines.length));
		}

		this.engines.forEach((_, index) => {
			this.stepEngine(index);
		});
	}

	private happens(perSecond: number): boolean {
		return this.plan.random() < perSecond * stepMs / msPerSecond;
	}

	private createContent(partFingerprints: string[]): QuarantinedContent {
		this.requests += 1;
		return {fingerprint: `request-${this.requests}`, partFingerprints};
	}

	private createSound(): QuarantinedContent {
		const subject = `part-subject-${Math.floor(this.plan.random() * subjects)}`;
		return this.createContent([this.plan.random() < 0.25 ? 'part-dialogue' : 'part-common', subject]);
	}

	/** A request arrives at an entry, which sends it to an engine that is up. */
	private arrive(content: QuarantinedContent, hasCrashingPart: boolean): void {
		const {random, soundBeforeMs} = this.plan;
		const entry = Math.floor(random() * this.views.length);
		const isRefused = this.quarantines[entry]!.findQuarantined(content) !== undefined;
		if (!hasCrashingPart) {
			this.soundTimes.push({at: this.now, isRefused});
		}

		const up = this.engines.filter(({downUntil}) => downUntil <= this.now);
		const engine = up[Math.floor(random() * up.length)];
		if (isRefused || !engine) {
			return;
		}

		const isCrashing = hasCrashingPart && this.now > warmUpMs + soundBeforeMs;
		if (isCrashing) {
			this.arrivalTimes.push(this.now);
		}

		const firstEventAt = this.now + minFirstEventMs + (random() * firstEventSpreadMs);
		const isLong = content.partFingerprints.includes('part-dialogue');
		engine.runs.push({
			entry, content, isCrashing, mark: this.quarantines[entry]!.takeMark(), firstEventAt, endAt: firstEventAt + ((isLong ? longAnswerMs : shortAnswerMs) * (0.5 + random())), hasBegun: false,
		});
	}

	private stepEngine(index: number): void {
		const engine = this.engines[index]!;
		if (engine.runs.some(({isCrashing, firstEventAt}) => isCrashing && firstEventAt <= this.now)) {
			this.crashTimes.push(this.now);
			this.crash(index);
			return;
		}

		engine.runs.filter(({hasBegun, firstEventAt}) => !hasBegun && firstEventAt + beginningMs <= this.now).forEach(run => {
			run.hasBegun = true;
			this.quarantines[run.entry]!.recordBegun(run.content, run.mark);
		});
		engine.runs.filter(({endAt}) => endAt <= this.now).forEach(({entry, content, mark, hasBegun}) => {
			this.quarantines[entry]!.recordAnswered(content, mark, hasBegun);
		});
		engine.runs = engine.runs.filter(({endAt}) => endAt > this.now);
	}

	/** An engine ends; each entry that had requests there reports it. */
	private crash(index: number): void {
		const engine = this.engines[index]!;
		if (engine.downUntil > this.now) {
			return;
		}

		const endpointId = `engine-${index}-${engine.life}`;
		const {runs} = engine;
		engine.runs = [];
		engine.life += 1;
		engine.downUntil = this.now + this.plan.restartMs;
		[...new Set(runs.map(({entry}) => entry))].forEach(entry => {
			const own = runs.filter(run => run.entry === entry);
			const quarantine = this.quarantines[entry]!;
			const report = this.plan.alterReport(quarantine.createReport(endpointId, {requests: own.map(({content}) => content.fingerprint), inFlight: this.countInFlight(own)}));
			quarantine.recordCrash(report);
			this.send(() => {
				this.revision += 1;
				this.history.record(report, this.revision);
				this.publish();
			});
		});
	}

	private countInFlight(runs: readonly Run[]): Map<string, InFlightCount> {
		return runs.reduce((counts, {content, firstEventAt, hasBegun, isCrashing}) => {
			const isBeginning = this.plan.sendsHead && isCrashing && firstEventAt <= this.now;
			[content.fingerprint, ...(hasBegun ? [] : content.partFingerprints)].forEach(fingerprint => {
				const {requests, beginnings} = counts.get(fingerprint) ?? {requests: 0, beginnings: 0};
				counts.set(fingerprint, {requests: requests + 1, beginnings: beginnings + Number(isBeginning)});
			});
			return counts;
		}, new Map<string, InFlightCount>());
	}

	private sendSuccess(report: SuccessReport): void {
		if (!this.plan.reportsSuccesses) {
			return;
		}

		this.send(() => {
			if (this.history.isNews(report)) {
				this.revision += 1;
				this.history.recordSuccesses([report], this.revision);
				this.publish();
			}
		});
	}

	private runRound(): void {
		const elapsed = this.due.listElapsed(this.history.listDue(), this.now);
		if (elapsed.length > 0) {
			this.revision += 1;
			this.history.quarantineDue(elapsed, this.revision);
		}

		this.publish();
	}

	private send(deliver: () => void): void {
		this.messages.push({at: this.now + (this.plan.random() * this.plan.maxDelayMs), deliver});
	}

	/** Sends the newest changes to all entries. */
	private publish(): void {
		this.views.forEach((_, index) => {
			this.send(() => {
				this.update(index);
			});
		});
	}

	private update(index: number): void {
		const quarantine = this.history.feed.readAfter(this.cursors[index]);
		this.cursors[index] = quarantine.cursor;
		const empty = {
			isWhole: false, changes: [], cursor: quarantine.cursor, isLast: true,
		};
		this.views[index]!.apply({
			revision: this.revision, endpoints: empty, configuration: empty, quarantine, crashCount: this.history.crashCount,
		}, true);
		this.quarantines[index]!.reviewSuspicions();
	}
}
