/**
 * Simulates entries that claim the costs of requests of limited workspaces, while leaders are lost and entries fall silent, in virtual
 * time. Leaders, entries and the replicated state are the real ones; only calls, the log's delay and callers are simulated.
 */

import {LimitUnit, type LimitTolerance, type Workspace} from 'mastvalve-access';
import {LimitService, type LimitRequest, type LimitResponse} from 'mastvalve-fleet-control';
import {FleetMachine, type FleetCommand, type ServingConfiguration} from 'mastvalve-fleet';
import {assumeType, createRandom, type Random} from 'mastvalve-utils';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {VirtualLimitEntry} from './virtual-limit-entry.js';

/** How an entry falls silent when the leader is lost. */
export enum Silence {
	/** It stands still. */
	Frozen = 'frozen',
	/** It serves callers, but reaches no leader. */
	CutOff = 'cut off',
	/** Its process ends, and another begins at once under its name. */
	Restarted = 'restarted',
	/** It ends, and another entry joins later. */
	Replaced = 'replaced',
}

export type LimitedWorkspacesOptions = {entries: number; seed: number};

/** How a workspace sends, other than without an end and with requests of the usual cost. */
export type LoadOptions = {until?: number; meanCost?: number};

type Run = {workspace: string; at: number; cost: number};

const tolerance: LimitTolerance = {windowMs: 8000, overage: 0.1, slack: 0};
const requestCost = 2400;
/** Longest time until an entry hears of a new leader, ms. */
const maxLeaderNewsMs = 450;
const replacedAfterMs = 1000;
/** Time of a commit, ms. */
const minCommitMs = 4;
const maxCommitMs = 25;
const maintenanceIntervalMs = 300;
/** Time after which a proposal that no majority confirms has failed, ms. */
const proposeTimeoutMs = 2500;

const createWorkspace = (name: string, ratePerSecond: number): Workspace => ({
	name,
	keyDigests: [],
	priority: 0,
	limit: {
		unit: LimitUnit.Tokens, ratePerSecond, burst: ratePerSecond, plainTokens: 200,
	},
});

/** Sends several times its limit. */
export const hot = createWorkspace('hot', 40_000);
/** Sends less than half of its limit. */
export const quiet = createWorkspace('quiet', 40_000);

/** What a workspace may use in a window without the tolerance. */
export const computeCapacity = ({limit}: Workspace): number => (limit!.ratePerSecond * tolerance.windowMs / 1000) + limit!.burst;

/** What a workspace may use in a window. */
export const computeAllowed = (workspace: Workspace): number => (computeCapacity(workspace) * (1 + tolerance.overage)) + tolerance.slack;

export class LimitedWorkspaces {
	readonly time = new VirtualTime();
	readonly runs: Run[] = [];
	/** Commands that were committed, with their size in bytes. */
	readonly commits: Array<{at: number; bytes: number}> = [];
	readonly refusals: Array<{workspace: string; at: number; isCutOff: boolean}> = [];
	readonly entries: VirtualLimitEntry[];
	private readonly random: Random;
	private readonly machine = new FleetMachine();
	private leader: LimitService | undefined;
	private term = 0;
	private isClosed = false;

	constructor(private readonly options: LimitedWorkspacesOptions) {
		this.random = createRandom(options.seed);
		this.entries = Array.from({length: options.entries}, (_, index) => this.createEntry(index));
		this.electLeader();
		void this.maintain();
	}

	loseLeader(): void {
		this.leader = undefined;
	}

	electLeader(): void {
		this.term += 1;
		const {term} = this;
		this.leader = new LimitService({
			tolerance,
			readConfiguration: () => assumeType<ServingConfiguration>(configuration),
			findEndpoint: () => undefined,
			readTerm: () => (this.term === term ? term : undefined),
			recordedGrants: {read: workspace => this.machine.readRecordedGrants(workspace), listWorkspaces: () => this.machine.listGrantedWorkspaces()},
			propose: async command => this.commit(command, term),
			wait: this.time.wait,
			now: () => this.time.clock.now(),
		});
		this.entries.forEach(entry => {
			void this.tellLeader(entry);
		});
	}

	/** Makes some entries silent, for a time if they can return. */
	silence(count: number, how: Silence, ms: number): void {
		const first = Math.floor(this.random() * this.entries.length);
		Array.from({length: count}, (_, index) => (first + index) % this.entries.length).forEach(index => {
			this.silenceOne(index, how, ms);
		});
	}

	/** Sends requests of a workspace at random times to random entries, at `load` times its rate. */
	async send(workspace: Workspace, load: number, {until = Number.POSITIVE_INFINITY, meanCost = requestCost}: LoadOptions = {}): Promise<void> {
		const {limit} = workspace;
		while (!this.isClosed && this.time.clock.now() < until) {
			// eslint-disable-next-line no-await-in-loop
			await this.time.wait(-Math.log(1 - this.random()) * 1000 * meanCost / (limit!.ratePerSecond * load));
			const entry = this.entries[Math.floor(this.random() * this.entries.length)]!;
			void entry.serve(workspace, Math.round(meanCost * (0.5 + this.random())));
		}
	}

	close(): void {
		this.isClosed = true;
		this.entries.forEach(entry => {
			entry.kill();
		});
	}

	/** Most that a workspace ran within a window. */
	findMaxInWindow({name}: Workspace): number {
		const runs = this.runs.filter(({workspace}) => workspace === name);
		let [first, sum, most] = [0, 0, 0];
		runs.forEach(({at, cost}) => {
			sum += cost;
			while (runs[first]!.at <= at - tolerance.windowMs) {
				sum -= runs[first]!.cost;
				first += 1;
			}

			most = Math.max(most, sum);
		});
		return most;
	}

	/** Sum that a workspace ran within a time. */
	sumBetween({name}: Workspace, from: number, to: number): number {
		return this.runs.filter(({workspace, at}) => workspace === name && at >= from && at < to).reduce((sum, {cost}) => sum + cost, 0);
	}

	countRefusals({name}: Workspace, from: number, to: number): number {
		return this.refusals.filter(({workspace, at}) => workspace === name && at >= from && at < to).length;
	}

	/** Number of refusals at entries that reach a leader. */
	countConnectedRefusals({name}: Workspace): number {
		return this.refusals.filter(({workspace, isCutOff}) => workspace === name && !isCutOff).length;
	}

	private silenceOne(index: number, how: Silence, ms: number): void {
		const entry = this.entries[index]!;
		switch (how) {
			case Silence.Frozen: {
				entry.freeze(ms);
				break;
			}

			case Silence.CutOff: {
				entry.isCutOff = true;
				void this.joinAgain(entry, ms);
				break;
			}

			case Silence.Restarted: {
				entry.kill();
				this.entries[index] = this.createEntry(index);
				break;
			}

			case Silence.Replaced: {
				entry.kill();
				void this.replace(index);
				break;
			}
		}
	}

	private async joinAgain(entry: VirtualLimitEntry, ms: number): Promise<void> {
		await this.time.wait(ms);
		entry.isCutOff = false;
	}

	private async replace(index: number): Promise<void> {
		await this.time.wait(replacedAfterMs);
		this.entries[index] = this.createEntry(index);
	}

	private async tellLeader(entry: VirtualLimitEntry): Promise<void> {
		await this.time.wait(this.random() * maxLeaderNewsMs);
		if (!entry.isCutOff) {
			entry.client.informNewLeader();
		}
	}

	private createEntry(index: number): VirtualLimitEntry {
		const {time, random, options: {entries}} = this;
		const entry: VirtualLimitEntry = new VirtualLimitEntry({
			name: `entry ${index} ${random()}`,
			time,
			random,
			windowMs: tolerance.windowMs,
			entries,
			readLeader: () => `leader ${this.term}`,
			ask: async request => this.ask(request),
			onRun: (workspace, cost) => {
				this.runs.push({workspace, at: time.clock.now(), cost});
			},
			onRefused: workspace => {
				this.refusals.push({workspace, at: time.clock.now(), isCutOff: entry.isCutOff || entry.client.isDisconnected});
			},
		});
		return entry;
	}

	private async ask(request: LimitRequest): Promise<LimitResponse | undefined> {
		const {leader} = this;
		const response = await leader?.answer(request);
		void leader?.recordGrants();
		// A leader that is lost meanwhile sends no answer.
		return leader === this.leader ? response : undefined;
	}

	/** Commits a command; one that is in flight when the leader is lost may be in force or not. */
	private async commit(command: FleetCommand, term: number): Promise<boolean> {
		const {leader} = this;
		await this.time.wait(minCommitMs + (this.random() * (maxCommitMs - minCommitMs)));
		const isLost = leader === undefined || this.leader !== leader;
		if (term === this.term && (!isLost || this.random() < 0.5)) {
			this.machine.apply(command, this.commits.length + 1);
			this.commits.push({at: this.time.clock.now(), bytes: JSON.stringify(command).length});
		}

		await this.time.wait(isLost ? proposeTimeoutMs : 0);
		return !isLost;
	}

	private async maintain(): Promise<void> {
		while (!this.isClosed) {
			// eslint-disable-next-line no-await-in-loop
			await this.time.wait(maintenanceIntervalMs);
			void this.leader?.recordGrants();
		}
	}
}

const configuration: Pick<ServingConfiguration, 'workspaces'> = {workspaces: [hot, quiet]};
