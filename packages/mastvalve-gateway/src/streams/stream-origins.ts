/**
 * Knows at which release streams began, also those that another entry served.
 *
 * This entry keeps the origins of its own streams. While endpoints of a service have several releases, it reports them to the leader, in batches
 * behind the first event; so a stream whose entry has died can be taken up at another one. A stream whose release isn't proved isn't taken up.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {StreamOriginRequest, StreamOriginResponse} from 'mastvalve-fleet-control';
import {
	proveRelease, ReleaseProof, StreamOriginTable, type FleetEndpoint, type ProvedRelease, type StreamOrigin,
} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import type {FleetView} from '../fleet/fleet-view.js';

export type StreamOriginsOptions = {
	/** Name of this incarnation of the entry. */
	entry: string;
	client: Pick<PeerClient, 'call'>;
	readLeader: () => string | undefined;
	view: FleetView;
	clock: Clock;
	wait: (ms: number, signal?: AbortSignal) => Promise<unknown>;
	signal: AbortSignal;
};

/** What the leader knows of the endpoint that is to send the rest of a stream. */
export enum TargetState {
	Current = 'current',
	/** Its process has ended, and another one may have its name. */
	Replaced = 'replaced',
	/** No leader answers. */
	Unknown = 'unknown',
}

/** Largest number of own streams in progress or just broken. */
const maxOrigins = 20_000;
/** Origins are reported together after this time, ms. */
const batchMs = 25;
/** Time within which the origin of a stream reaches the leader, ms: a batch, the next one while a call is in progress, and the call. */
const reportingMs = 3 * batchMs;
/** Delay after a failed report, ms. */
const retryDelayMs = 150;
/** The leader is unreachable after this long without a byte, ms; a caller waits meanwhile. */
const silenceTimeoutMs = 150;
/** Longest time since control was heard for which this entry's view still shows all releases and crashes, ms; twice its longest poll, with a margin. */
const maxViewAgeMs = 1000;
const sweepIntervalMs = 1000;

export class StreamOrigins {
	/** Services of all origins so far. */
	private readonly services = new Set<string>();
	private readonly table = new StreamOriginTable(maxOrigins);
	/** Keys of the origins that the current leader lacks. */
	private unreported = new Set<string>();
	private term: number | undefined;
	private isReporting = false;
	private sweptAt = 0;

	constructor(private readonly options: StreamOriginsOptions) {
		options.view.subscribe(() => {
			this.report();
		});
	}

	private get isViewFresh(): boolean {
		const {view, clock} = this.options;
		return view.isSynced && clock.now() - view.heardAt <= maxViewAgeMs;
	}

	/** Records that the first event of a stream is passed on. */
	record(origin: StreamOrigin): void {
		const now = this.options.clock.now();
		this.sweep(now);
		this.table.record(origin, now);
		this.unreported.add(origin.key);
		this.services.add(origin.service);
		this.report();
	}

	/** A new leader knows no origins. */
	informNewLeader(): void {
		this.term = undefined;
		this.markAllUnreported();
		this.report();
	}

	/** Proves at which release a stream began: by this entry's record, by the leader, or by the view of this entry if no leader answers. */
	async prove(key: string, service: string): Promise<ProvedRelease> {
		const {view, clock} = this.options;
		const evidence = {origin: this.table.findOrigin(key, clock.now()), endpoints: view.listRecentEndpoints(service), wall: clock.wall()};
		const own = proveRelease(evidence);
		// An entry without news doesn't know of a successor that has registered since.
		if (evidence.origin && this.isViewFresh) {
			return own;
		}

		const answer = await this.askLeader(key, service);
		if (answer) {
			return answer;
		}

		return this.isViewFresh ? own : {proof: ReleaseProof.None, reason: 'no leader answers'};
	}

	/** Whether the record of an endpoint tells the release of the process that answers for it: a crash of that endpoint would be known by now. */
	isRecordCurrent({id, service}: Pick<FleetEndpoint, 'id' | 'service'>): boolean {
		const hasCrashed = this.options.view.findEndpoint(id)?.hasCrashed === true;
		return !hasCrashed && (this.isViewFresh || !this.options.view.hasSeveralReleases(service));
	}

	/**
	 * Whether the rest of a stream may be sent to an endpoint: nothing else than the recorded incarnation answers there, as far as the leader
	 * knows now. Without a leader nobody would know of a successor with another release.
	 */
	async confirmTarget({id, service}: Pick<FleetEndpoint, 'id' | 'service'>): Promise<TargetState> {
		if (!this.options.view.hasSeveralReleases(service)) {
			return TargetState.Current;
		}

		const response = await this.call({targets: [id]});
		if (!response) {
			return TargetState.Unknown;
		}

		return response.confirmed.includes(id) ? TargetState.Current : TargetState.Replaced;
	}

	/** Asks the leader at which release a stream began, again if its entry may only be about to report it; undefined if no leader answers. */
	private async askLeader(key: string, service: string): Promise<ProvedRelease | undefined> {
		const first = await this.call({questions: [{key, service}]});
		const answer = first?.answers[0];
		if (answer?.proof !== ReleaseProof.None) {
			return answer;
		}

		await this.options.wait(reportingMs);
		const second = await this.call({questions: [{key, service}]});
		return second?.answers[0] ?? answer;
	}

	/** Reports in batches until the leader knows all origins of services with several releases. */
	private report(): void {
		const hasMixedService = [...this.services].some(service => this.options.view.hasSeveralReleases(service));
		if (this.isReporting || !hasMixedService || this.listReportable().length === 0) {
			return;
		}

		this.isReporting = true;
		void this.reportAll().finally(() => {
			this.isReporting = false;
		});
	}

	private async reportAll(): Promise<void> {
		const {wait, signal} = this.options;
		while (!signal.aborted && this.listReportable().length > 0) {
			// Reports are sequential; streams that begin meanwhile are part of the next one.
			// eslint-disable-next-line no-await-in-loop
			await wait(batchMs, signal);
			// eslint-disable-next-line no-await-in-loop
			const response = await this.call({});
			if (!response) {
				// eslint-disable-next-line no-await-in-loop
				await wait(retryDelayMs, signal);
			}
		}
	}

	/** Calls the leader with all origins that it lacks; undefined when it doesn't answer. */
	private async call({questions = [], targets = []}: Partial<Pick<StreamOriginRequest, 'questions' | 'targets'>>): Promise<StreamOriginResponse | undefined> {
		const {entry, client, readLeader, signal} = this.options;
		const address = readLeader();
		if (address === undefined) {
			return undefined;
		}

		const origins = this.listReportable();
		const isWhole = this.term === undefined;
		const response = await client.call<StreamOriginResponse>({
			address, path: '/streams', idleTimeoutMs: silenceTimeoutMs, signal, body: {
				entry, origins, isWhole, questions, targets,
			} satisfies StreamOriginRequest,
		});
		if (response.isErr()) {
			return undefined;
		}

		origins.forEach(({key}) => {
			this.unreported.delete(key);
		});
		const {term, needsAll} = response.value;
		if (needsAll || (this.term !== undefined && this.term !== term)) {
			this.markAllUnreported();
		}

		this.term = needsAll ? undefined : term;
		this.report();
		return response.value;
	}

	/** Origins that the leader lacks and may be asked for: their services have several releases. */
	private listReportable(): StreamOrigin[] {
		const {view, clock} = this.options;
		const now = clock.now();
		return [...this.unreported]
			.flatMap(key => this.table.findOrigin(key, now) ?? [])
			.filter(({service}) => view.hasSeveralReleases(service));
	}

	private markAllUnreported(): void {
		this.unreported = new Set(this.table.list(this.options.clock.now()).map(({key}) => key));
	}

	private sweep(now: number): void {
		if (now >= this.sweptAt + sweepIntervalMs) {
			this.sweptAt = now;
			this.table.sweep(now);
			this.unreported = new Set([...this.unreported].filter(key => this.table.findOrigin(key, now)));
		}
	}
}
