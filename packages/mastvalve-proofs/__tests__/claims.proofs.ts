/**
 * Proofs of property 5: what must not be repeated runs at most once.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {
	ClaimDecisionKind, ClaimTable, defaultClaimRules, type ClaimRules,
} from 'mastvalve-claims';
import {ClaimGuard} from 'mastvalve-sidecar';
import {ClaimStatus} from 'mastvalve-types';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

const retentionMs = 1000;

enum Kind {
	/** An entry claims a key for a new attempt. */
	Begin = 'begin',
	/** The claim's answer was lost, and the entry asks again. */
	BeginAgain = 'begin-again',
	/** A granted attempt is dispatched and runs. */
	Run = 'run',
	/** A granted attempt is refused before dispatch. */
	Refuse = 'refuse',
	/** The end of an attempt is recorded. */
	Record = 'record',
	/** An entry is killed: its attempt is never ended. */
	Kill = 'kill',
	/** Time passes. */
	Wait = 'wait',
	/** The table goes through a snapshot. */
	Snapshot = 'snapshot',
}

type Attempt = {name: string; key: string; isGranted: boolean; hasRun: boolean; wasRefused: boolean; isDead: boolean};

const stepsArbitrary = fc.array(fc.record({
	kind: fc.constantFrom(Kind.Begin, Kind.Begin, Kind.Run, Kind.Run, Kind.Refuse, Kind.Record, Kind.Record, Kind.Kill, Kind.BeginAgain, Kind.Wait, Kind.Snapshot),
	pick: fc.nat(1000),
}), {minLength: 10, maxLength: 120, size: 'max'});

const createClaimProof = (failure: string, twin: string, broken: Partial<ClaimRules>): Proof => ({
	property: Property.AtMostOnce,
	failure,
	scenario: 'a key\'s call runs at most once, whoever asks again and however late',
	twin,
	run: async (variant, run) => checkProperty(stepsArbitrary, steps => {
		const limits = {retentionMs, maxIssuedAheadMs: 100, maxClaims: 100};
		const rules = {...defaultClaimRules, ...(variant === Variant.Broken ? broken : {})};
		let table = new ClaimTable(limits, rules);
		const issuedAt = new Map<string, number>();
		const runs = new Map<string, number>();
		const attempts: Attempt[] = [];
		let now = 10_000;
		const begin = (attempt: Attempt, token: number): void => {
			const issued = issuedAt.get(attempt.key) ?? now;
			issuedAt.set(attempt.key, issued);
			const decision = table.begin({
				key: attempt.key, digest: 'd', attempt: attempt.name, issuedAt: issued, expiresAt: now + 50,
			}, token, now);
			attempt.isGranted ||= decision.kind === ClaimDecisionKind.Granted;
		};

		/** A step of an attempt that is still alive. */
		const act = (kind: Kind, pick: number, index: number): void => {
			const alive = attempts.filter(candidate => !candidate.isDead);
			const attempt = alive[pick % Math.max(1, alive.length)];
			if (!attempt) {
				return;
			}

			if (kind === Kind.BeginAgain) {
				begin(attempt, index);
			} else if (kind === Kind.Kill) {
				attempt.isDead = true;
			} else if (kind === Kind.Run && attempt.isGranted && !attempt.hasRun && !attempt.wasRefused) {
				attempt.hasRun = true;
				runs.set(attempt.key, (runs.get(attempt.key) ?? 0) + 1);
			} else if (kind === Kind.Refuse && attempt.isGranted && !attempt.hasRun) {
				attempt.wasRefused = true;
			} else if (kind === Kind.Record && (attempt.hasRun || attempt.wasRefused)) {
				const ended = pick % 2 === 0 ? ClaimStatus.Done : ClaimStatus.Unknown;
				table.finish({key: attempt.key, attempt: attempt.name, status: attempt.wasRefused ? ClaimStatus.NotRun : ended});
				attempt.isDead = true;
			}
		};

		steps.forEach(({kind, pick}, index) => {
			now += pick % 7;
			// Other steps are of one attempt.
			// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
			switch (kind) {
				case Kind.Begin: {
					const created = {
						name: `a${index}`, key: `k${pick % 3}`, isGranted: false, hasRun: false, wasRefused: false, isDead: false,
					};
					attempts.push(created);
					begin(created, index);

					break;
				}

				case Kind.Wait: {
					now += pick;

					break;
				}

				case Kind.Snapshot: {
					const data = structuredClone(table.takeSnapshot());
					table = new ClaimTable(limits, rules);
					table.restoreSnapshot(data);

					break;
				}

				default: {
					act(kind, pick, index);
				}
			}

			runs.forEach((count, key) => {
				assert.ok(count <= 1, `${key} ran ${count} times`);
			});
		});
	}, {...run, variant}),
});

const guardProof: Proof = {
	property: Property.AtMostOnce,
	failure: 'a dispatch arrives twice, also after the sidecar was restarted',
	scenario: 'a sidecar runs each claim once',
	twin: 'a restarted sidecar accepts claims from before its start',
	run: async (variant, run) => checkProperty(
		fc.array(fc.record({kind: fc.constantFrom('dispatch', 'dispatch', 'dispatch', 'restart', 'grant'), pick: fc.nat(100)}), {minLength: 5, maxLength: 80}),
		steps => {
			let revision = 1;
			let guard = new ClaimGuard(1);
			const ran = new Set<number>();
			steps.forEach(({kind, pick}) => {
				if (kind === 'grant') {
					revision += 1;
				} else if (kind === 'restart') {
					revision += 1;
					guard = new ClaimGuard(variant === Variant.Broken ? 0 : revision);
				} else {
					const claim = 1 + (pick % revision);
					if (guard.accept(claim)) {
						assert.ok(!ran.has(claim), `claim ${claim} ran twice`);
						ran.add(claim);
					}
				}
			});
		},
		{...run, variant},
	),
};

/** The proofs. */
export const claimsProofs: Proof[] = [
	createClaimProof(
		'entries killed between claim, dispatch and record; lost answers; repeats',
		'a key whose outcome is unknown may be claimed again',
		{mayReclaim: status => status !== ClaimStatus.Done},
	),
	createClaimProof('a repeat after the key was forgotten', 'a key older than the retention is taken for new', {isTooOld: () => false}),
	guardProof,
];
