/**
 * One run of one policy in one scenario: entries, endpoints and control's leader in virtual time, with the real
 * decision code of each.
 */

import {computeModelMemory} from 'mastvalve-configuration';
import {
	changeEndpoints, DemandEstimate, placeAssignments, recordLoaded, restoreCoverage,
} from 'mastvalve-control';
import {EndpointTable} from 'mastvalve-entry';
import {listChangedPlacements, planConfiguration} from 'mastvalve-intents';
import {chooseWantedReplicas, defaultReleaseShare} from 'mastvalve-placement';
import {hashPrefixes, RetryBudget} from 'mastvalve-routing';
import {
	AssignmentMode, EndpointState, prioritiesByUrgency, type Configuration,
} from 'mastvalve-types';
import {
	assumeType, createRandom, type Random,
} from 'mastvalve-utils';
import {PlacementKind, type BenchPolicy} from './bench-policy.js';
import type {DeploymentShape} from './deployment-shape.js';
import {createFirstConfiguration} from './first-configuration.js';
import type {RunOptions, RunResult} from './run-result.js';
import {durationMs, faultAt, type Scenario} from './scenario.js';
import {VirtualEndpoint} from './virtual-endpoint.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';
import {createWorkload, type BenchRequest} from './workload.js';

const entryCount = 3;
const spreadMs = 200;
const dutyMs = 500;
const demandMs = 5000;
const defaultRatePerReplica = 6;
const maxAttempts = 4;
const maxTokenGapMs = 35;
const eventLeadMs = 60_000;

/** The whole run. */
export class PolicyRun {
	private readonly time = new VirtualTime();
	private readonly random: Random;
	private readonly store: VirtualStore;
	private readonly endpoints: VirtualEndpoint[];
	private readonly tables: EndpointTable[];
	private readonly budgets = Array.from({length: entryCount}, () => new RetryBudget(0.1));
	private readonly demand = new DemandEstimate();
	private readonly counts = Array.from({length: entryCount}, () => new Map<string, number>());
	/** As control has it. */
	private committed: Configuration;
	/** As entries and sidecars have it. */
	private known: Configuration;
	private attempts = 0;
	private refused = 0;
	private turn = 0;
	private readonly served: RunResult['served'];

	constructor(private readonly shape: DeploymentShape, private readonly scenario: Scenario, private readonly policy: BenchPolicy, private readonly options: RunOptions) {
		this.random = createRandom(options.seed);
		this.store = new VirtualStore(this.time, shape.loadsPerSecond, shape.parallelLoads);
		this.committed = createFirstConfiguration(shape, policy.placement);
		this.known = this.committed;
		this.endpoints = Array.from({length: shape.engines}, (_, index) => this.createEndpoint(index));
		this.tables = Array.from({length: entryCount}, () => new EndpointTable(this.time));
		this.served = assumeType<RunResult['served']>(Object.fromEntries(prioritiesByUrgency.map(priority => [priority, {within: 0, all: 0}])));
		this.spread();
	}

	run(): RunResult {
		this.warmUp();
		const offset = this.time.now();
		const loadFactor = this.options.loadFactor ?? 1;
		const factor = this.scenario.factor(this.shape);
		createWorkload({...this.shape, calmRate: this.shape.calmRate * loadFactor}, factor, durationMs, createRandom(this.options.seed + 1)).forEach(request => {
			this.time.schedule(() => {
				this.arrive({...request, at: this.time.now()});
			}, request.at);
		});
		this.scheduleFaults();
		const movesBefore = this.countMoves();
		this.time.runUntil(offset + durationMs + 60_000);
		const within = Object.values(this.served).reduce((sum, {within: count}) => sum + count, 0);
		return {
			served: this.served,
			attainment: within / (durationMs / 1000) / this.shape.engines,
			moves: this.countMoves() - movesBefore,
			refused: this.refused,
			worstColdMs: Math.max(...this.endpoints.map(endpoint => endpoint.worstColdMs)),
			attemptsPerRequest: this.attempts / Math.max(1, Object.values(this.served).reduce((sum, {all}) => sum + all, 0)),
			memoryViolations: this.endpoints.reduce((sum, endpoint) => sum + endpoint.memory.violations, 0),
		};
	}

	private countMoves(): number {
		return this.endpoints.reduce((sum, endpoint) => sum + endpoint.memory.moves, 0);
	}

	/** Everything that is placed at first gets loaded before the run is measured. */
	private warmUp(): void {
		this.time.repeat(dutyMs, () => {
			this.leaderDuty();
		});
		this.time.repeat(demandMs, () => {
			this.reportDemand();
		});
		this.time.runUntil(60_000);
	}

	private createEndpoint(index: number): VirtualEndpoint {
		const models = new Map(this.shape.models.map(model => [model.name, model]));
		return new VirtualEndpoint({
			id: `e${index}`,
			time: this.time,
			store: this.store,
			capacity: this.shape.capacity,
			random: createRandom(this.options.seed + 100 + index),
			sizeOf: name => computeModelMemory(this.committed.models[name] ?? {
				name, service: '', size: 0, adapters: [], minReplicas: 0,
			}),
			loadMsOf: name => models.get(name)?.loadMs ?? 0,
			isOmniscient: this.policy.placement === PlacementKind.Everywhere,
		});
	}

	/** The tree brings what is committed to entries and sidecars a little later. */
	private spread(): void {
		const next = this.committed;
		this.time.schedule(() => {
			if (next.revision >= this.known.revision) {
				this.known = next;
				this.endpoints.forEach((endpoint, index) => {
					endpoint.assignments = next.placements[`e${index}`]?.assignments ?? [];
				});
			}
		}, spreadMs);
	}

	private commit(next: Configuration): void {
		if (next !== this.committed) {
			this.committed = next;
			this.spread();
		}
	}

	private isLeaderless(): boolean {
		const since = this.time.now() - 60_000 - faultAt;
		return since >= 0 && since < this.scenario.leaderlessMs;
	}

	private leaderDuty(): void {
		if (this.isLeaderless()) {
			return;
		}

		const revision = this.committed.revision + 1;
		const proved = this.endpoints.reduce((configuration, endpoint, index) => recordLoaded(configuration, {
			endpointId: `e${index}`, incarnation: index + 1, loaded: endpoint.loaded,
		}, revision), this.committed);
		this.commit(proved);
		if (this.policy.placement === PlacementKind.Ours) {
			this.placeForDemand(revision);
		}
	}

	private placeForDemand(revision: number): void {
		const placements = Object.values(this.committed.placements);
		const pending = placements.reduce((sum, placement) =>
			sum + placement.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident).length - placement.loaded.length, 0);
		const {assignments} = planConfiguration(this.committed, {
			demandOf: model => this.demand.rateOf(model, this.time.now()),
			wantedReplicasOf: (model, current, minimum) => Math.max(this.eventReplicas(model), chooseWantedReplicas(this.demand.rateOf(model, this.time.now()), current, minimum, {
				ratePerReplica: this.options.ratePerReplica ?? defaultRatePerReplica, releaseShare: defaultReleaseShare,
			})),
			loadBudget: Math.max(0, this.shape.parallelLoads - pending),
			moveWeight: this.options.moveWeight ?? this.shape.moveWeight,
		});
		this.commit(placeAssignments(this.committed, listChangedPlacements(this.committed, assignments), revision));
	}

	/** Replicas that the declared event asks for, prepared ahead. */
	private eventReplicas(model: string): number {
		const {burst, models} = this.shape;
		const since = this.time.now() - 60_000 - faultAt + eventLeadMs;
		const isDue = this.scenario.isDeclared && since >= 0 && since < eventLeadMs + 100_000;
		return isDue && burst.models.some(index => models[index]?.name === model) ? 3 : 0;
	}

	private reportDemand(): void {
		this.counts.forEach((counts, entry) => {
			this.demand.record({entry: `entry-${entry}`, seconds: demandMs / 1000, requests: Object.fromEntries(counts)}, this.time.now());
			counts.clear();
		});
	}

	private scheduleFaults(): void {
		const {scenario, shape} = this;
		this.time.schedule(() => {
			this.store.slowdown = scenario.storeSlowdown;
			this.endpoints.forEach(endpoint => {
				endpoint.lostOrders = scenario.lostOrders;
			});
			scenario.lostEngines(shape).forEach(index => {
				this.endpoints[index]?.lose();
				// The platform's list shows it some seconds later.
				this.time.schedule(() => {
					const changed = changeEndpoints(this.committed, [{endpointId: `e${index}`, incarnation: index + 1, state: EndpointState.Gone}], this.committed.revision + 1);
					this.commit(this.policy.placement === PlacementKind.OnDemand ? changed : restoreCoverage(changed));
				}, 4000);
			});
		}, faultAt);
	}

	private arrive(request: BenchRequest): void {
		const entry = this.turn % entryCount;
		this.turn += 1;
		const model = this.shape.models[request.model]?.name ?? '';
		this.served[request.priority].all += 1;
		this.counts[entry]?.set(model, (this.counts[entry].get(model) ?? 0) + 1);
		this.budgets[entry]?.recordFirstAttempt();
		this.attempt(request, model, entry, new Set());
	}

	private attempt(request: BenchRequest, model: string, entry: number, tried: Set<string>): void {
		const table = this.tables[entry];
		const chosen = table && this.choose(table, model, request, tried);
		if (!table || !chosen) {
			this.refused += 1;
			return;
		}

		this.attempts += 1;
		tried.add(chosen.id);
		const endpoint = this.endpoints[Number(chosen.id.slice(1))];
		table.recordStart(chosen, hashPrefixes(model, request.prompt));
		const tryAgain = (isFree: boolean): void => {
			table.recordEnd(chosen);
			if (tried.size < maxAttempts && this.time.now() < request.at + request.targetMs && (isFree || this.budgets[entry]?.takeRetry())) {
				this.attempt(request, model, entry, tried);
			} else {
				this.refused += 1;
			}
		};

		let firstAt = 0;
		const isTaken = endpoint?.offer({
			request,
			model,
			deadlineAt: request.at + request.targetMs,
			onFirstToken: () => {
				firstAt = this.time.now();
				this.report(table, chosen, endpoint);
			},
			onRefused() {
				tryAgain(false);
			},
			onEnd: isWhole => {
				if (!isWhole) {
					table.recordFailure(chosen);
					tryAgain(false);
					return;
				}

				table.recordEnd(chosen);
				const gap = (this.time.now() - firstAt) / Math.max(1, request.tokens - 1);
				if (firstAt - request.at <= request.targetMs && gap <= maxTokenGapMs) {
					this.served[request.priority].within += 1;
				}
			},
		});
		if (!isTaken) {
			if (endpoint?.isLost) {
				table.recordFailure(chosen);
			} else {
				this.report(table, chosen, endpoint);
			}

			tryAgain(false);
		}
	}

	/** Load rides on answers. */
	private report(table: EndpointTable, endpoint: Configuration['endpoints'][string], from: VirtualEndpoint | undefined): void {
		const isFrozen = this.scenario.areReportsFrozen && this.time.now() > 60_000 + faultAt;
		if (from && !isFrozen) {
			table.recordAnswer(endpoint, `${from.queue.runningCount};${from.queue.queuedCount}`);
		}
	}

	private choose(table: EndpointTable, model: string, request: BenchRequest, tried: ReadonlySet<string>) {
		const declared = this.known.models[model];
		const isEverywhere = this.policy.placement === PlacementKind.Everywhere;
		const candidates = table
			.listCandidates(this.known, this.shape.service, isEverywhere ? undefined : declared, hashPrefixes(model, request.prompt))
			.filter(candidate => !tried.has(candidate.endpointId))
			.map(candidate => {
				const endpoint = this.endpoints[Number(candidate.endpointId.slice(1))];
				const isHeld = endpoint?.loaded.includes(model) ?? false;
				return {
					...candidate,
					reportedLoad: this.policy.seesTrueLoad ? (endpoint?.isLost ? 1e9 : endpoint?.load ?? 0) : candidate.reportedLoad,
					isResident: this.policy.placement === PlacementKind.OnDemand ? isHeld : candidate.isResident,
				};
			});
		const holders = candidates.filter(candidate => candidate.isResident);
		const preferred = this.policy.placement === PlacementKind.OnDemand && holders.length > 0 ? holders : candidates;
		const chosen = this.policy.choose ? this.policy.choose(preferred, this.random) : preferred[this.turn % Math.max(1, preferred.length)];
		return candidates.find(candidate => candidate.endpointId === chosen?.endpointId)?.endpoint;
	}
}
