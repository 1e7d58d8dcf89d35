/**
 * Periodic tasks of a control instance: the leader marks silent endpoints, forgets old ones, reverts crashes that heartbeats
 * refute, begins and ends quarantines and records limits; other instances forward the heartbeats that they receive to the leader.
 */

import type {ControlGroup} from 'mastvalve-cluster';
import {
	contradictionMs, FleetCommandKind, getProbationDelayMs, quarantineMs, type FleetCommand, type FleetMachine,
} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import type {CrashVerdicts} from './crash-verdicts.js';
import type {Liveness, LivenessTimes} from './liveness.js';
import {ElapsedTimes} from './elapsed-times.js';

export type FleetMaintenanceOptions = {
	group: ControlGroup;
	machine: FleetMachine;
	/** Times of heartbeats received by this instance or forwarded to it. */
	liveness: Liveness;
	crashVerdicts: CrashVerdicts;
	clock: Clock;
	/** Time between two heartbeats of an endpoint, ms. */
	heartbeatMs: number;
	propose: (command: FleetCommand) => Promise<Result<unknown, MastvalveError>>;
	publishLimits: () => Promise<void>;
	onEvent: (kind: string, detail: string) => void;
};

/** Heartbeats that an endpoint may miss before others are preferred; heartbeats are occasionally late by seconds. */
const missedHeartbeats = 4;
const forgetGoneAfterMs = 120_000;
const forgetSilentAfterMs = 90_000;

export class FleetMaintenance {
	private readonly quarantineTimes = new ElapsedTimes(() => quarantineMs);
	private readonly dueTimes = new ElapsedTimes(() => contradictionMs);
	private readonly probationTimes = new ElapsedTimes(fingerprint => getProbationDelayMs(this.options.machine.countProbations(fingerprint) ?? 0));
	private readonly times: LivenessTimes;
	private wasLeading = false;

	constructor(private readonly options: FleetMaintenanceOptions) {
		this.times = {silentAfterMs: missedHeartbeats * options.heartbeatMs, forgetGoneAfterMs, forgetSilentAfterMs};
	}

	/** Runs each task once. */
	async runRound(): Promise<void> {
		const {group, liveness, crashVerdicts, publishLimits} = this.options;
		if (!group.isLeading) {
			this.wasLeading = false;
			await this.forwardHeartbeats();
			return;
		}

		if (!this.wasLeading) {
			this.wasLeading = true;
			liveness.reset();
			crashVerdicts.reset();
			this.quarantineTimes.reset();
			this.dueTimes.reset();
			this.probationTimes.reset();
		}

		await publishLimits();
		await this.refuteCrashes();
		await this.markSilent();
		await this.quarantineDue();
		await this.beginProbations();
		await this.releaseExpiredQuarantines();
		await this.forgetExpired();
	}

	private async refuteCrashes(): Promise<void> {
		const {machine, crashVerdicts, clock, propose, onEvent} = this.options;
		const ids = crashVerdicts.listRefuted(machine.listCrashed(), clock.now());
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.RefuteCrashes, ids});
			onEvent('endpoint.crash-refuted', `heartbeats go on after the last refused connection: ${ids.join(', ')}`);
		}
	}

	private async markSilent(): Promise<void> {
		const {machine, liveness, clock, propose, onEvent} = this.options;
		const ids = liveness.listSilent(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.MarkSilent, ids});
			onEvent('endpoint.silent', `no heartbeat for ${this.times.silentAfterMs} ms: ${ids.join(', ')}`);
		}
	}

	/** Quarantines what endpoints have crashed under and no answer has cleared in the meantime. */
	private async quarantineDue(): Promise<void> {
		const {machine, clock, propose, onEvent} = this.options;
		const fingerprints = this.dueTimes.listElapsed(machine.listDue(), clock.now());
		if (fingerprints.length > 0) {
			await propose({kind: FleetCommandKind.QuarantineDue, fingerprints});
			onEvent('quarantine.begun', `no answer within ${contradictionMs} ms after the crashes: ${fingerprints.join(', ')}`);
		}
	}

	/** Lifts quarantines of what was answered before: nothing else could clear it while all that was in flight crashed. */
	private async beginProbations(): Promise<void> {
		const {machine, clock, propose, onEvent} = this.options;
		const sound = machine.listQuarantined().filter(fingerprint => machine.countProbations(fingerprint) !== undefined);
		const fingerprints = this.probationTimes.listElapsed(sound, clock.now());
		if (fingerprints.length > 0) {
			await propose({kind: FleetCommandKind.BeginProbation, fingerprints});
			onEvent('quarantine.probation', `lifted until the next crash: ${fingerprints.join(', ')}`);
		}
	}

	private async releaseExpiredQuarantines(): Promise<void> {
		const {machine, clock, propose, onEvent} = this.options;
		const fingerprints = this.quarantineTimes.listElapsed(machine.listQuarantined(), clock.now());
		if (fingerprints.length > 0) {
			await propose({kind: FleetCommandKind.ReleaseQuarantine, fingerprints});
			onEvent('quarantine.ended', `after ${quarantineMs} ms: ${fingerprints.join(', ')}`);
		}
	}

	private async forgetExpired(): Promise<void> {
		const {machine, liveness, clock, propose} = this.options;
		const ids = liveness.listForgettable(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.Forget, ids});
		}
	}

	/** Forwards the ids of endpoints whose heartbeats this instance has received to the leader. */
	private async forwardHeartbeats(): Promise<void> {
		const ids = this.options.liveness.takeUnforwarded();
		if (ids.length > 0) {
			await this.options.group.callLeader('/heard', ids);
		}
	}
}
