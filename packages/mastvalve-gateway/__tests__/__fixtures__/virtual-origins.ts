/**
 * Entries, a leader and endpoints in virtual time, for the question at which release a stream began. Messages take no time; an entry that
 * is cut off sends and receives none.
 */

import {PeerError} from 'mastvalve-cluster';
import {StreamOriginService, type StreamOriginRequest} from 'mastvalve-fleet-control';
import {
	EndpointPhase, formatIncarnation, formatStreamKey, parseIncarnation, ReleaseProof, type FleetEndpoint, type ProvedRelease,
} from 'mastvalve-fleet';
import {assumeType} from 'mastvalve-utils';
import {err, ok} from 'neverthrow';
import {FleetView, StreamOrigins} from '../../src/index.js';
import {createEndpoint} from './running-gateway.js';

/** Time of day at the start of virtual time, ms. */
const wallStart = 1_000_000_000;
const streamMs = 15_000;
/** Time for which an entry that saw a process end expects its successor to register, ms. */
const successorMs = 5000;

/** A process of an endpoint. Its first heartbeat may come late, so that its former incarnation is still recorded. */
export type EndpointProcess = {name: string; release: string; startedAt: number; isRegistered: boolean};

type VirtualEntry = {view: FleetView; origins: StreamOrigins; isCut: boolean; cutAt: number; isDead: boolean; ending: AbortController};

/** A stream: the release that really sent its first event. */
export type VirtualStream = {key: string; release: string; beganAt: number; process: EndpointProcess; /** Whether its entry was cut off from control when the process started, and did not see the former one end. */ isBehindCut: boolean};

export class VirtualOrigins {
	now = 0;
	readonly entries: VirtualEntry[];
	readonly streams: VirtualStream[] = [];
	/** When a release was first registered, ms. */
	readonly releaseSince = new Map<string, number>();
	private readonly processes = new Map<string, EndpointProcess>();
	private registry: FleetEndpoint[] = [];
	private revision = 0;
	private term = 1;
	private hasLeader = true;
	private leader: StreamOriginService;
	private readonly waits: Array<() => void> = [];

	/** Without incarnations, an endpoint is known by its name alone. */
	constructor(entryCount: number, private readonly hasIncarnations = true) {
		this.leader = this.createLeader();
		this.entries = Array.from({length: entryCount}, (_, index) => this.createEntry(index));
	}

	/** Starts a process; one of a name that runs already replaces it. */
	startEndpoint(name: string, release: string, isRegistered = true): void {
		// No two processes start in the same millisecond.
		this.now += 1;
		const process = {
			name, release, startedAt: wallStart + this.now, isRegistered: false,
		};
		this.processes.set(name, process);
		if (isRegistered) {
			this.register(name);
		}
	}

	/** Delivers the first heartbeat of an endpoint's process. */
	register(name: string): void {
		const process = this.processes.get(name);
		if (!process || process.isRegistered) {
			return;
		}

		process.isRegistered = true;
		this.revision += 1;
		this.registry = this.registry.map(endpoint => (parseIncarnation(endpoint.id).name === name ? {...endpoint, phase: EndpointPhase.Gone, revision: this.revision} : endpoint));
		this.registry = this.registry.filter(({id}) => id !== this.formatId(process));
		this.registry.push(createEndpoint(this.formatId(process), {release: process.release, revision: this.revision}));
		this.releaseSince.set(process.release, Math.min(this.now, this.releaseSince.get(process.release) ?? Number.POSITIVE_INFINITY));
		this.publish();
	}

	/** Begins a stream at an entry, at an endpoint of its view whose process runs; undefined if there is none. */
	beginStream(entryIndex: number, choose: (count: number) => number, hasSeenEnd = true): VirtualStream | undefined {
		const entry = this.entries[entryIndex]!;
		const endpoints = entry.view.listEndpoints('s').filter(({id}) => this.processes.has(parseIncarnation(id).name));
		const endpoint = endpoints[choose(endpoints.length)];
		if (!endpoint || entry.isDead) {
			return undefined;
		}

		const key = formatStreamKey(`stream-${this.streams.length}`, undefined);
		const process = this.processes.get(parseIncarnation(endpoint.id).name)!;
		const processAt = process.startedAt - wallStart;
		const isOther = endpoint.id !== this.formatId(process);
		const stream = {
			key, release: process.release, beganAt: this.now, process, isBehindCut: isOther && !hasSeenEnd && entry.isCut && entry.cutAt <= processAt,
		};
		this.streams.push(stream);
		const isBehindEnd = isOther && hasSeenEnd && entry.view.heardAt < processAt + successorMs;
		if (isBehindEnd || !entry.origins.isRecordCurrent(endpoint)) {
			return stream;
		}

		entry.origins.record({
			key, service: 's', endpoint: endpoint.id, release: endpoint.release, ageMs: 0, remainingMs: streamMs,
		});
		return stream;
	}

	/** Lets time pass until an entry has its answer. */
	async prove(entryIndex: number, key: string): Promise<ProvedRelease> {
		const {origins, isDead} = this.entries[entryIndex]!;
		if (isDead) {
			return {proof: ReleaseProof.None, reason: 'the entry is dead'};
		}

		const answers: ProvedRelease[] = [];
		void origins.prove(key, 's').then(answer => {
			answers.push(answer);
		});
		await settle();
		while (answers.length === 0) {
			// eslint-disable-next-line no-await-in-loop
			await this.advance(stepMs);
		}

		return answers[0]!;
	}

	/** Elects a new leader, or leaves the group without one. */
	changeLeader(hasLeader: boolean): void {
		this.hasLeader = hasLeader;
		if (hasLeader) {
			this.term += 1;
			this.leader = this.createLeader();
			this.entries.filter(({isCut, isDead}) => !isCut && !isDead).forEach(({origins}) => {
				origins.informNewLeader();
			});
		}
	}

	setCut(entryIndex: number, isCut: boolean): void {
		const entry = this.entries[entryIndex]!;
		entry.cutAt = isCut && !entry.isCut ? this.now : entry.cutAt;
		entry.isCut = isCut;
		this.publish();
	}

	kill(entryIndex: number): void {
		const entry = this.entries[entryIndex]!;
		entry.isDead = true;
		entry.ending.abort();
	}

	/** Number of origins that the leader holds. */
	get originCount(): number {
		return this.leader.originCount;
	}

	/** Lets time pass in steps, in which waits end and entries in touch hear control. */
	async advance(ms: number): Promise<void> {
		await Array.from({length: Math.ceil(ms / stepMs)}).reduce<Promise<void>>(async before => {
			await before;
			this.now += stepMs;
			this.publish();
			this.waits.splice(0).forEach(end => {
				end();
			});
			await settle();
		}, Promise.resolve());
	}

	private formatId(process: EndpointProcess): string {
		return this.hasIncarnations ? formatIncarnation(process) : process.name;
	}

	private createLeader(): StreamOriginService {
		const {term} = this;
		return new StreamOriginService({
			machine: {list: () => this.registry, find: id => this.registry.find(endpoint => endpoint.id === id)}, readTerm: () => (this.hasLeader ? term : undefined), now: () => this.now, wall: () => wallStart + this.now,
		});
	}

	private createEntry(index: number): VirtualEntry {
		const view = new FleetView(() => this.now);
		const ending = new AbortController();
		const origins = new StreamOrigins({
			entry: `entry-${index}`,
			client: {
				call: async ({address, path, body}) => {
					const response = this.entries[index]!.isCut || !this.hasLeader ? undefined : this.leader.answer(structuredClone(assumeType<StreamOriginRequest>(body)));
					return response ? ok(assumeType<never>(response)) : err(new PeerError(address, path, 'no leader'));
				},
			},
			readLeader: () => 'leader',
			view,
			clock: {now: () => this.now, wall: () => wallStart + this.now},
			wait: async () => new Promise<void>(resolve => {
				this.waits.push(resolve);
			}),
			signal: ending.signal,
		});
		return {
			view, origins, isCut: false, cutAt: Number.NEGATIVE_INFINITY, isDead: false, ending,
		};
	}

	/** Brings the views of all entries in touch up to date. */
	private publish(): void {
		const cursor = {revision: this.revision, key: '', begunAt: this.revision};
		this.entries.filter(({isCut, isDead}) => !isCut && !isDead).forEach(({view}) => {
			view.apply({
				revision: this.revision,
				endpoints: {
					isWhole: false, changes: this.registry.filter(({revision}) => revision > view.revision), cursor, isLast: true,
				},
				configuration: {
					isWhole: false, changes: [], cursor, isLast: true,
				},
				quarantine: {
					isWhole: false, changes: [], cursor, isLast: true,
				},
			}, true);
		});
	}
}

const stepMs = 25;

/** Lets all calls of a step end. */
const settle = async (): Promise<void> =>
	new Promise(resolve => {
		setImmediate(resolve);
	});
