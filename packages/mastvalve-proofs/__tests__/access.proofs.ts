/**
 * Proofs of keys and limits: no request runs by a key for longer than the bound after it was taken away, and no window runs more
 * than a limit allows.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {
	AccessKind, digestKey, DisconnectedLimits, GrantHistory, KeyFreshness, authorizeRequest, KeyKind, LimitLedger, LimitUnit, LimitWindow, maxCallIntervalMs, maxLocalGrantMs, WorkspaceTable,
	type LimitTolerance, type PresentedKey, type RecordedCeilings, type Workspace,
} from 'mastvalve-access';
import {
	checkProperty, Property, Variant, type Proof, type ProofOutcome, type ProofRun,
} from '../src/index.js';

const boundMs = 5000;
/** A hand-over to an endpoint takes this long at the most after the decision, ms. */
const handoverMs = 400;
const key: PresentedKey = {kind: KeyKind.Presented, digest: digestKey('k')};
const createWorkspace = (keyDigests: string[]): Workspace => ({
	name: 'w', keyDigests, priority: 0, limit: undefined,
});
const holding = new WorkspaceTable([createWorkspace([key.digest])]);
const without = new WorkspaceTable([createWorkspace([])]);

/** What is broken in an entry. */
enum KeyFault {
	None = 'none',
	/** Any answer of a control instance counts as new, also of one that is cut off. */
	Hearsay = 'hearsay',
	/** Time that the steady clock doesn't count is not noticed. */
	SteadyClockAlone = 'steady-clock-alone',
	/** The key is looked at when a request arrives, and not when it is handed over. */
	ArrivalOnly = 'arrival-only',
}

enum KeyStepKind {
	/** The entry asks a control instance; the answer may come later. */
	Ask = 'ask',
	/** An answer on its way arrives, or is lost. */
	Answer = 'answer',
	Lose = 'lose',
	/** Which instance the entry asks is cut off from the leader from now on, or joined again. */
	CutOff = 'cut-off',
	/** The entry stands still, and its steady clock with it. */
	Suspend = 'suspend',
	/** A caller's request arrives, or one that has waited is handed over. */
	Arrive = 'arrive',
	HandOver = 'hand-over',
	Revoke = 'revoke',
}

type KeyStep = {kind: KeyStepKind; ms: number};
type Answer = {askedAt: number; sureAfterMs: number; isRevoked: boolean};

/** One entry, one control instance that may be cut off, and the time at which the key was taken away. */
class KeyModel {
	private trueNow = 0;
	private steadyNow = 0;
	private revokedAt = Number.POSITIVE_INFINITY;
	private isCutOff = false;
	/** What the control instance knows, and since when it is sure of it. */
	private known = {sureAt: 0, isRevoked: false};
	private readonly answers: Answer[] = [];
	private table = holding;
	private readonly evidence = new KeyFreshness(boundMs);
	/** When requests that wait were sent, true time. */
	private readonly waiting: number[] = [];

	constructor(private readonly fault: KeyFault) {}

	step({kind, ms}: KeyStep): void {
		this.pass(ms);
		switch (kind) {
			case KeyStepKind.Ask: {
				const {sureAt, isRevoked} = this.known;
				const sureAfterMs = this.fault === KeyFault.Hearsay ? 0 : sureAt - this.trueNow;
				this.answers.push({askedAt: this.steadyNow, sureAfterMs, isRevoked});
				break;
			}

			case KeyStepKind.Answer: {
				this.takeAnswer(this.answers.shift());
				break;
			}

			case KeyStepKind.Lose: {
				this.answers.shift();
				break;
			}

			case KeyStepKind.CutOff: {
				this.isCutOff = !this.isCutOff;
				break;
			}

			case KeyStepKind.Suspend: {
				this.trueNow += ms * 5;
				if (this.fault !== KeyFault.SteadyClockAlone) {
					this.evidence.invalidate(this.steadyNow);
				}

				break;
			}

			case KeyStepKind.Arrive: {
				if (this.mayServe()) {
					this.waiting.push(this.trueNow);
				}

				break;
			}

			case KeyStepKind.HandOver: {
				this.handOver(this.waiting.shift());
				break;
			}

			case KeyStepKind.Revoke: {
				this.revokedAt = Math.min(this.revokedAt, this.trueNow);
				break;
			}
		}
	}

	private pass(ms: number): void {
		this.trueNow += ms;
		this.steadyNow += ms;
		if (!this.isCutOff) {
			this.known = {sureAt: this.trueNow, isRevoked: this.trueNow >= this.revokedAt};
		}
	}

	private takeAnswer(answer: Answer | undefined): void {
		if (answer) {
			this.table = answer.isRevoked ? without : this.table;
			this.evidence.recordAnswer(answer.askedAt, answer.sureAfterMs);
		}
	}

	private mayServe(): boolean {
		return authorizeRequest({
			key, workspaces: this.table, isAnonymous: false, hasFreshKeys: this.evidence.isFresh(this.steadyNow),
		}).kind === AccessKind.Granted;
	}

	private handOver(sentAt: number | undefined): void {
		if (sentAt !== undefined && (this.fault === KeyFault.ArrivalOnly || this.mayServe())) {
			// Stricter than what was asked for: not only what was sent later, but whatever runs later.
			assert.ok(this.trueNow + handoverMs <= this.revokedAt + boundMs, `ran ${this.trueNow - this.revokedAt} ms after its key was taken away`);
		}
	}
}

const keyStepArbitrary = fc.record<KeyStep>({
	kind: fc.oneof(
		{weight: 6, arbitrary: fc.constantFrom(KeyStepKind.Ask, KeyStepKind.Answer, KeyStepKind.Arrive, KeyStepKind.HandOver)},
		{weight: 1, arbitrary: fc.constantFrom(KeyStepKind.CutOff, KeyStepKind.Suspend, KeyStepKind.Lose, KeyStepKind.Revoke)},
	), ms: fc.nat(1000),
});

/** A key that is taken away while an entry that has just been sure of it is suspended, with a request that waits. */
const revokedWhileSuspended: readonly KeyStepKind[] = [
	KeyStepKind.Ask, KeyStepKind.Answer, KeyStepKind.Arrive, KeyStepKind.Revoke, KeyStepKind.Suspend, KeyStepKind.Suspend, KeyStepKind.Arrive, KeyStepKind.HandOver,
];

const keyEpisodeArbitrary = fc.tuple(...revokedWhileSuspended.map(kind => fc.record<KeyStep>({kind: fc.constant(kind), ms: fc.nat(1000)})));

/** Single steps, and now and then steps that follow each other as a fault needs them. */
const keyStepsArbitrary = fc.array(fc.oneof(
	{weight: 30, arbitrary: keyStepArbitrary.map(step => [step])},
	{weight: 1, arbitrary: keyEpisodeArbitrary},
), {minLength: 60, maxLength: 200}).map(parts => parts.flat());

const runKeys = (broken: KeyFault) => async (variant: Variant, run: ProofRun): Promise<ProofOutcome> => checkProperty(
	keyStepsArbitrary,
	steps => {
		const model = new KeyModel(variant === Variant.Real ? KeyFault.None : broken);
		steps.forEach(step => {
			model.step(step);
		});
	},
	{...run, variant},
);

const tolerance: LimitTolerance = {windowMs: 8000, overage: 0.1, slack: 5000};

/** What is broken in the counting. */
enum LimitFault {
	None = 'none',
	/** Each entry counts alone. */
	CountsAlone = 'counts-alone',
	/** Neither the log nor entries tell another leader what the one before has granted. */
	Forgets = 'forgets',
	/** Another leader knows only what entries tell it. */
	SilentCountsZero = 'silent-counts-zero',
	/** A leader grants to others what leaves the windows of entries that it doesn't hear. */
	GrantsSilentAgain = 'grants-silent-again',
	/** What is given back counts twice. */
	GivesBackTwice = 'gives-back-twice',
}

enum LimitStepKind {
	Claim = 'claim',
	/** A request that was claimed for was not run. */
	GiveBack = 'give-back',
	/** The leader is lost and another one elected; some entries are silent for a time. */
	ChangeLeader = 'change-leader',
	/** Some entries are silent for a time while the leader serves the others. */
	Silence = 'silence',
}

/** How entries are silent while the leader changes. */
enum Silence {
	/** They serve callers without a leader. */
	CutOff = 'cut-off',
	Frozen = 'frozen',
	/** They have lost what they knew. */
	Restarted = 'restarted',
}

type LimitStep = {kind: LimitStepKind; ms: number; entry: number; cost: number; silent: boolean[]; silence: Silence; silentMs: number};
type Run = {at: number; cost: number; entry: LimitEntry};

const limited: Workspace = {
	...createWorkspace([]), limit: {
		unit: LimitUnit.Tokens, ratePerSecond: 4000, burst: 4000, plainTokens: 0,
	},
};
/** Stricter than the limit's tolerance: leaders and entries without one together keep to what a leader alone may grant. */
const allowed = new LimitWindow(limited.limit!, tolerance).capacity;
const entryCount = 5;

/** What one entry knows. */
class LimitEntry {
	/** Time of the last call to a leader. */
	calledAt = 0;
	readonly history = new GrantHistory(tolerance.windowMs);
	readonly limits = new DisconnectedLimits(this.history, tolerance.windowMs);
	silence: {how: Silence; until: number} | undefined;

	constructor(readonly name: string) {}
}

/** What the log holds of the grants. */
class GrantRecords implements RecordedCeilings {
	private readonly amounts = new Map<string, number>();

	read(workspace: string): number {
		return this.amounts.get(workspace) ?? 0;
	}

	listWorkspaces(): string[] {
		return [...this.amounts.keys()];
	}

	record(ledger: LimitLedger, now: number): void {
		ledger.listDueRecords(now).forEach(({workspace, amount}) => {
			this.amounts.set(workspace, amount);
		});
	}
}

class LimitModel {
	private now = 0;
	private records = new GrantRecords();
	private ledgers: LimitLedger[];
	/** Number of entries so far. */
	private named = 0;
	private readonly entries = Array.from({length: entryCount}, () => this.createEntry());
	/** Entries whose grants the leader knows. */
	private readonly reported = new Set<LimitEntry>(this.entries);
	private ran: Run[] = [];

	constructor(private readonly fault: LimitFault) {
		this.ledgers = this.createLedgers();
	}

	step({kind, ms, entry, cost, ...change}: LimitStep): void {
		this.now += ms;
		this.endSilences();
		this.keepContact();
		switch (kind) {
			case LimitStepKind.Claim: {
				this.claim(entry, cost);
				break;
			}

			case LimitStepKind.GiveBack: {
				this.giveBack();
				break;
			}

			case LimitStepKind.ChangeLeader: {
				this.silence(change);
				this.changeLeader();
				break;
			}

			case LimitStepKind.Silence: {
				this.silence(change);
				break;
			}
		}

		this.check();
	}

	private claim(index: number, cost: number): void {
		const entry = this.entries[index]!;
		if (entry.silence?.how === Silence.Frozen) {
			return;
		}

		const isGranted = entry.silence ? entry.limits.mayGrant(limited, cost, this.now) : this.claimFromLeader(entry, index, cost);
		if (!isGranted) {
			return;
		}

		this.ran.push({at: this.now, cost, entry});
		if (entry.silence) {
			entry.history.recordLocal(limited.name, cost, this.now);
		} else {
			entry.history.record(limited.name, cost, this.now);
		}
	}

	private claimFromLeader(entry: LimitEntry, index: number, cost: number): boolean {
		const ledger = this.ledgers[index % this.ledgers.length]!;
		this.call(entry, ledger);
		if (ledger.needsRecord(limited, cost, this.now)) {
			ledger.noteWaiting(limited, cost, this.now);
			this.records.record(ledger, this.now);
		}

		const isGranted = ledger.applyClaim(limited, cost, this.now, entry.name) === 0;
		this.records.record(ledger, this.now);
		return isGranted;
	}

	private call(entry: LimitEntry, ledger: LimitLedger): void {
		this.report(entry, ledger);
		// No entry is told that less than half of the window is used, so none grants a request more by itself.
		entry.limits.recordAnswer(undefined, this.now);
	}

	/** What the entry was granted before, to a leader that doesn't know it. */
	private report(entry: LimitEntry, ledger: LimitLedger): void {
		if (this.fault !== LimitFault.GrantsSilentAgain) {
			ledger.noteCall(entry.name, this.now);
		}

		if (this.fault !== LimitFault.Forgets) {
			const grants = this.reported.has(entry) ? entry.history.listUnreported(this.now) : entry.history.listPriorGrants(this.now);
			grants.forEach(grant => {
				ledger.addPriorGrant(limited, grant, this.now, entry.name);
			});
		}

		entry.history.markReported(entry.history.lastSequence);
		entry.calledAt = this.now;
		this.reported.add(entry);
	}

	/** Entries call once a second at least. */
	private keepContact(): void {
		this.entries.forEach((entry, index) => {
			if (!entry.silence && this.now >= entry.calledAt + maxCallIntervalMs) {
				this.call(entry, this.ledgers[index % this.ledgers.length]!);
			}
		});
	}

	private createEntry(): LimitEntry {
		this.named += 1;
		return new LimitEntry(`entry ${this.named}`);
	}

	private giveBack(): void {
		const last = this.ran.at(-1);
		if (!last || last.entry.silence?.how === Silence.Frozen) {
			return;
		}

		this.ran.pop();
		const index = this.entries.indexOf(last.entry);
		last.entry.history.refund(limited.name, last.cost, this.now);
		if (index !== -1 && !last.entry.silence) {
			const ledger = this.ledgers[index % this.ledgers.length]!;
			if (!this.reported.has(last.entry)) {
				// What the entry tells no longer contains the cost.
				this.report(last.entry, ledger);
				return;
			}

			ledger.applyClaim(limited, -last.cost * (this.fault === LimitFault.GivesBackTwice ? 2 : 1), this.now, last.entry.name);
		}
	}

	private silence({silent, silence, silentMs}: Pick<LimitStep, 'silent' | 'silence' | 'silentMs'>): void {
		this.entries.forEach((entry, index) => {
			if (!silent[index] || entry.silence) {
				return;
			}

			if (silence === Silence.Restarted) {
				this.entries[index] = this.createEntry();
			} else {
				entry.limits.disconnect(this.now);
				entry.silence = {how: silence, until: this.now + silentMs};
			}
		});
	}

	private changeLeader(): void {
		this.reported.clear();
		this.ledgers = this.createLedgers();
		this.entries.filter(({silence: present}) => present === undefined).forEach((entry, index) => {
			this.report(entry, this.ledgers[index % this.ledgers.length]!);
		});
	}

	private endSilences(): void {
		this.entries.filter(({silence}) => silence && silence.until <= this.now).forEach(entry => {
			entry.silence = undefined;
			entry.limits.reconnect();
		});
	}

	private createLedgers(): LimitLedger[] {
		if (this.fault === LimitFault.Forgets || this.fault === LimitFault.SilentCountsZero) {
			this.records = new GrantRecords();
		}

		return Array.from({length: this.fault === LimitFault.CountsAlone ? entryCount : 1}, () => new LimitLedger(tolerance, this.now, this.records));
	}

	private check(): void {
		this.ran = this.ran.filter(({at}) => at > this.now - tolerance.windowMs);
		const sum = this.ran.reduce((total, {cost}) => total + cost, 0);
		assert.ok(sum <= allowed, `${sum} ran in a window, ${allowed} are allowed`);
	}
}

const createLimitStepArbitrary = (...failures: LimitStepKind[]): fc.Arbitrary<LimitStep> => fc.record<LimitStep>({
	kind: fc.oneof({weight: 20, arbitrary: fc.constant(LimitStepKind.Claim)}, {weight: 6, arbitrary: fc.constant(LimitStepKind.GiveBack)}, {weight: 1, arbitrary: fc.constantFrom(...failures)}),
	ms: fc.nat(200),
	entry: fc.nat(entryCount - 1),
	cost: fc.nat(5000),
	silent: fc.array(fc.boolean(), {minLength: entryCount, maxLength: entryCount}),
	silence: fc.constantFrom(Silence.CutOff, Silence.Frozen, Silence.Restarted),
	silentMs: fc.nat(10_000),
});

/** Without a bias to short times and small costs, so that windows fill and grants leave them. */
const createClaimsArbitrary = (count: number): fc.Arbitrary<LimitStep[]> =>
	fc.noBias(fc.array(createLimitStepArbitrary(LimitStepKind.Claim), {minLength: count, maxLength: Math.ceil(1.5 * count)}));

/** Entries that are cut off for as long as they may grant by themselves, after grants that leave the window meanwhile. */
const cutOffEpisodeArbitrary = fc.tuple(
	createClaimsArbitrary(45),
	createLimitStepArbitrary(LimitStepKind.Silence).map(step => [{
		...step, kind: LimitStepKind.Silence, silent: [true, true, false, false, false], silence: Silence.CutOff, silentMs: maxLocalGrantMs + step.silentMs,
	}]),
	createClaimsArbitrary(90),
).map(parts => parts.flat());

/** Series in which leaders change, entries silent beside them. */
const changeSeriesArbitrary = fc.array(createLimitStepArbitrary(LimitStepKind.ChangeLeader), {minLength: 100, maxLength: 300});

/** A new leader counts what silent entries may hold in any case, so in these series the leader lives on. */
const cutOffSeriesArbitrary = fc.array(cutOffEpisodeArbitrary, {minLength: 1, maxLength: 3}).map(parts => parts.flat());

const runLimits = (broken: LimitFault) => async (variant: Variant, run: ProofRun): Promise<ProofOutcome> => {
	const play = (steps: LimitStep[]): void => {
		const model = new LimitModel(variant === Variant.Real ? LimitFault.None : broken);
		steps.forEach(step => {
			model.step(step);
		});
	};

	const changes = await checkProperty(changeSeriesArbitrary, play, {...run, variant});
	if (changes.violations > 0) {
		return changes;
	}

	const cutOffs = await checkProperty(cutOffSeriesArbitrary, play, {...run, variant});
	return {...cutOffs, cases: changes.cases + cutOffs.cases};
};

const keyFailure = 'a key is taken away while entries are cut off, suspended, and hear late from instances that are cut off';
const keyScenario = 'no request runs by a key more than the bound after it was taken away';
const limitFailure = 'a workspace sends more than its limit through all entries, while leaders change and live on, entries are silent and requests aren\'t run';
const limitScenario = 'no window runs more than the limit allows';

/** The proofs. */
export const accessProofs: Proof[] = [
	{
		property: Property.Configuration, failure: keyFailure, scenario: keyScenario, twin: 'an entry believes whatever control instance answers', run: runKeys(KeyFault.Hearsay),
	},
	{
		property: Property.Configuration, failure: keyFailure, scenario: keyScenario, twin: 'freshness counts by the steady clock alone', run: runKeys(KeyFault.SteadyClockAlone),
	},
	{
		property: Property.Configuration, failure: keyFailure, scenario: keyScenario, twin: 'the key is looked at on arrival only', run: runKeys(KeyFault.ArrivalOnly),
	},
	{
		property: Property.Configuration, failure: limitFailure, scenario: limitScenario, twin: 'each entry counts alone', run: runLimits(LimitFault.CountsAlone),
	},
	{
		property: Property.Configuration, failure: limitFailure, scenario: limitScenario, twin: 'another leader isn\'t told what the one before has granted', run: runLimits(LimitFault.Forgets),
	},
	{
		property: Property.Configuration, failure: limitFailure, scenario: limitScenario, twin: 'silent entries count as zero', run: runLimits(LimitFault.SilentCountsZero),
	},
	{
		property: Property.Configuration,
		failure: limitFailure,
		scenario: limitScenario,
		twin: 'the leader grants again what leaves the windows of entries it doesn\'t hear',
		run: runLimits(LimitFault.GrantsSilentAgain),
	},
	{
		property: Property.Configuration, failure: limitFailure, scenario: limitScenario, twin: 'what is given back counts twice', run: runLimits(LimitFault.GivesBackTwice),
	},
];
