/**
 * The state that control's replicated log drives: plans, configuration, claims, and the answers already given.
 * Deterministic: it reads no clock and no random numbers; time comes with the commands.
 */

import {assumeType} from 'mastvalve-utils';
import {ClaimTable, type ClaimLimits, type ClaimTableData} from 'mastvalve-claims';
import {createEmptyConfiguration} from 'mastvalve-configuration';
import {toWire, type WireResult} from 'mastvalve-http';
import {confirmPlan, makePlan, type Plan} from 'mastvalve-intents';
import type {StateMachine} from 'mastvalve-replication';
import {
	EndpointState, MastvalveError, type Configuration, type Intent,
} from 'mastvalve-types';
import {err, ok} from 'neverthrow';
import {CommandKind, type Command, type EndpointChange} from './commands.js';
import {
	changeEndpoints, forgetEndpoints, joinEndpoint, placeAssignments, recordLoaded, restoreCoverage,
} from './endpoint-changes.js';

/** Plans that wait for a confirmation; the oldest give way. */
const maxPlans = 32;

/** Answers kept for operators who ask again after losing the first. */
const maxAnswers = 5000;

/** A gone endpoint is remembered for this long, ms. */
const goneRetentionMs = 3_600_000;

/** The state as plain data, for snapshots. */
type MachineData = {
	clock: number;
	configuration: Configuration;
	plans: Plan[];
	answers: Array<[string, WireResult<unknown>]>;
	goneSince: Array<[string, number]>;
	claims: ClaimTableData;
};

/** Limits of claims. */
export const createClaimLimits = (retentionMs: number): ClaimLimits => ({retentionMs, maxIssuedAheadMs: 300_000, maxClaims: 1_000_000});

/** No stated plan has this id. */
export class UnknownPlanError extends MastvalveError {
	constructor(id: string) {
		super('unknown-plan', `No plan with id ${id.slice(0, 12)} waits for a confirmation. State the intent again and review the plan that it gives.`, {status: 404});
		this.name = 'UnknownPlanError';
	}
}

/** Control's state. */
export class ControlMachine implements StateMachine {
	configuration: Configuration;
	private clock = 0;
	private plans: Plan[] = [];
	private readonly answers = new Map<string, WireResult<unknown>>();
	private readonly goneSince = new Map<string, number>();
	private readonly claims: ClaimTable;

	constructor(clusterId: string, limits: ClaimLimits, private readonly onChange: (configuration: Configuration) => void = () => undefined) {
		this.configuration = createEmptyConfiguration(clusterId);
		this.claims = new ClaimTable(limits);
	}

	get claimCount(): number {
		return this.claims.size;
	}

	/** A stated plan by its id, or by the start of it when that is unique. */
	findPlan(id: string): Plan | undefined {
		const matching = this.plans.filter(plan => plan.id.startsWith(id));
		return matching.length === 1 ? matching[0] : undefined;
	}

	apply(input: unknown, index: number): WireResult<unknown> {
		const command = assumeType<Command>(input);
		this.clock = Math.max(this.clock, command.at);
		const known = command.requestId === undefined ? undefined : this.answers.get(command.requestId);
		if (known) {
			return known;
		}

		const answer = this.carryOut(command, index);
		if (command.requestId !== undefined) {
			this.keepAnswer(command.requestId, answer);
		}

		return answer;
	}

	takeSnapshot(): MachineData {
		return {
			clock: this.clock,
			configuration: this.configuration,
			plans: this.plans,
			answers: [...this.answers],
			goneSince: [...this.goneSince],
			claims: this.claims.takeSnapshot(),
		};
	}

	restoreSnapshot(input: unknown): void {
		const data = assumeType<MachineData>(input);
		this.clock = data.clock;
		this.plans = data.plans;
		this.answers.clear();
		data.answers.forEach(([id, answer]) => {
			this.answers.set(id, answer);
		});
		this.goneSince.clear();
		data.goneSince.forEach(([id, at]) => {
			this.goneSince.set(id, at);
		});
		this.claims.restoreSnapshot(data.claims);
		this.setConfiguration(data.configuration);
	}

	private carryOut(command: Command, index: number): WireResult<unknown> {
		switch (command.kind) {
			case CommandKind.StateIntent: {
				return this.stateIntent(command.intent);
			}

			case CommandKind.ConfirmPlan: {
				return this.confirm(command.planId, index);
			}

			case CommandKind.JoinEndpoint: {
				const {configuration, endpoint} = joinEndpoint(this.configuration, command.endpoint, index);
				this.goneSince.delete(endpoint.id);
				this.setConfiguration(configuration);
				return toWire(ok(endpoint));
			}

			case CommandKind.ChangeEndpoints: {
				this.changeEndpoints(command.changes, index);
				return toWire(ok(true));
			}

			case CommandKind.Place: {
				this.setConfiguration(placeAssignments(this.configuration, command.placements, index));
				return toWire(ok(true));
			}

			case CommandKind.RecordLoaded: {
				this.setConfiguration(recordLoaded(this.configuration, command.proof, index));
				return toWire(ok(true));
			}

			case CommandKind.BeginClaim: {
				return toWire(ok(this.claims.begin(command.claim, index, this.clock)));
			}

			case CommandKind.FinishClaim: {
				return toWire(ok(this.claims.finish(command.end)));
			}
		}
	}

	private stateIntent(intent: Intent): WireResult<Plan> {
		const plan = makePlan(this.configuration, intent);
		this.plans = [...this.plans.filter(other => other.id !== plan.id), plan].slice(-maxPlans);
		return toWire(ok(plan));
	}

	private confirm(planId: string, index: number): WireResult<unknown> {
		const plan = this.findPlan(planId);
		if (!plan) {
			return toWire(err(new UnknownPlanError(planId)));
		}

		const result = confirmPlan(this.configuration, plan, index);
		if (result.isOk()) {
			this.setConfiguration(result.value);
		} else if (result.error.code === 'plan-changed') {
			this.stateIntent(plan.intent);
		}

		return toWire(result.map(configuration => ({version: configuration.version, revision: configuration.revision, planId: plan.id})));
	}

	private keepAnswer(requestId: string, answer: WireResult<unknown>): void {
		this.answers.set(requestId, answer);
		const oldest = this.answers.size > maxAnswers ? this.answers.keys().next().value : undefined;
		if (oldest !== undefined) {
			this.answers.delete(oldest);
		}
	}

	private changeEndpoints(changes: readonly EndpointChange[], index: number): void {
		const changed = changeEndpoints(this.configuration, changes, index);
		// Models of an endpoint that leaves get their new place at the same revision: none is ever without one.
		this.setConfiguration(changed === this.configuration ? changed : restoreCoverage(changed));
		this.forgetGone(index);
	}

	private forgetGone(index: number): void {
		Object.values(this.configuration.endpoints)
			.filter(endpoint => endpoint.state === EndpointState.Gone && !this.goneSince.has(endpoint.id))
			.forEach(endpoint => {
				this.goneSince.set(endpoint.id, this.clock);
			});
		const forgotten = [...this.goneSince].filter(([, since]) => this.clock - since > goneRetentionMs).map(([id]) => id);
		forgotten.forEach(id => {
			this.goneSince.delete(id);
		});
		this.setConfiguration(forgetEndpoints(this.configuration, forgotten, index));
	}

	private setConfiguration(configuration: Configuration): void {
		if (configuration !== this.configuration) {
			this.configuration = configuration;
			this.onChange(configuration);
		}
	}
}
