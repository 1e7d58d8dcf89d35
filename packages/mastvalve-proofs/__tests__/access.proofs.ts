/**
 * Proofs of keys and limits: no request runs by a key for longer than the bound after it was taken away, and no window runs more
 * than a limit allows.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {
	AccessKind, digestKey, KeyFreshness, authorizeRequest, KeyKind, LimitLedger, LimitUnit, WorkspaceTable,
	type LimitTolerance, type PresentedKey, type Workspace,
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
	/** Entries don't tell another leader what the one before has granted. */
	Forgets = 'forgets',
	/** What is given back counts twice. */
	GivesBackTwice = 'gives-back-twice',
}

enum LimitStepKind {
	Claim = 'claim',
	/** A request that was claimed for was not run. */
	GiveBack = 'give-back',
	ChangeLeader = 'change-leader',
}

type LimitStep = {kind: LimitStepKind; ms: number; entry: number; cost: number};
type Run = {at: number; cost: number};

const limited: Workspace = {
	...createWorkspace([]), limit: {
		unit: LimitUnit.Tokens, ratePerSecond: 4000, burst: 4000, plainTokens: 0,
	},
};
const allowed = (((4000 * tolerance.windowMs / 1000) + 4000) * (1 + tolerance.overage)) + tolerance.slack;
const entries = 5;
/** Changes of leader in a window that the beginning of each is made for. */
const maxChanges = 2;

class LimitModel {
	private now = 0;
	private ledgers: LimitLedger[];
	private readonly changes: number[] = [];
	private ran: Run[] = [];

	constructor(private readonly fault: LimitFault) {
		this.ledgers = this.createLedgers();
	}

	step({kind, ms, entry, cost}: LimitStep): void {
		this.now += ms;
		const ledger = this.ledgers[entry % this.ledgers.length]!;
		switch (kind) {
			case LimitStepKind.Claim: {
				if (ledger.applyClaim(limited, cost, this.now) === 0) {
					this.ran.push({at: this.now, cost});
				}

				break;
			}

			case LimitStepKind.GiveBack: {
				const last = this.ran.pop();
				if (last) {
					ledger.applyClaim(limited, -last.cost * (this.fault === LimitFault.GivesBackTwice ? 2 : 1), this.now);
				}

				break;
			}

			case LimitStepKind.ChangeLeader: {
				if (this.changes.filter(at => at > this.now - tolerance.windowMs).length < maxChanges) {
					this.changes.push(this.now);
					this.ledgers = this.createLedgers();
				}

				break;
			}
		}

		this.check();
	}

	/** All entries tell at once here; a leader grants little before it has heard them. */
	private tellHistory([ledger]: LimitLedger[]): void {
		this.ran.forEach(({at, cost}) => {
			ledger?.addPriorGrant(limited, {workspace: limited.name, amount: cost, ageMs: this.now - at}, this.now);
		});
	}

	private createLedgers(): LimitLedger[] {
		const ledgers = Array.from({length: this.fault === LimitFault.CountsAlone ? entries : 1}, () => new LimitLedger(tolerance, this.now));
		if (this.fault !== LimitFault.Forgets) {
			this.tellHistory(ledgers);
		}

		return ledgers;
	}

	private check(): void {
		this.ran = this.ran.filter(({at}) => at > this.now - tolerance.windowMs);
		const sum = this.ran.reduce((total, {cost}) => total + cost, 0);
		assert.ok(sum <= allowed, `${sum} ran in a window, ${allowed} are allowed`);
	}
}

const limitStepArbitrary = fc.record<LimitStep>({
	kind: fc.oneof({weight: 8, arbitrary: fc.constant(LimitStepKind.Claim)}, {weight: 3, arbitrary: fc.constant(LimitStepKind.GiveBack)}, {weight: 1, arbitrary: fc.constant(LimitStepKind.ChangeLeader)}),
	ms: fc.nat(200),
	entry: fc.nat(entries - 1),
	cost: fc.nat(5000),
});

const runLimits = (broken: LimitFault) => async (variant: Variant, run: ProofRun): Promise<ProofOutcome> => checkProperty(
	fc.array(limitStepArbitrary, {minLength: 100, maxLength: 300}),
	steps => {
		const model = new LimitModel(variant === Variant.Real ? LimitFault.None : broken);
		steps.forEach(step => {
			model.step(step);
		});
	},
	{...run, variant},
);

const keyFailure = 'a key is taken away while entries are cut off, suspended, and hear late from instances that are cut off';
const keyScenario = 'no request runs by a key more than the bound after it was taken away';
const limitFailure = 'a workspace sends more than its limit through all entries, while leaders change and requests aren\'t run';
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
		property: Property.Configuration, failure: limitFailure, scenario: limitScenario, twin: 'what is given back counts twice', run: runLimits(LimitFault.GivesBackTwice),
	},
];
