/**
 * Distinguishes crashed endpoints from broken connections, and collects the requests that each crashed endpoint was running.
 *
 * A broken connection is weak evidence: it may have been reset, or its answer corrupted, while the endpoint keeps running. A
 * crash is confirmed when no process listens at the address any more, or by control, which detects the next incarnation there.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {BoundedMap} from 'mastvalve-utils';
import {ListenerState} from './probe-listener.js';
import type {InFlightCount, QuarantinedContent} from './request-content.js';

export type CrashDetectorOptions = {
	/** Monotonic clock, ms. */
	now: () => number;
	probe: (address: string) => Promise<ListenerState>;
	/** Whether control still lists an endpoint as alive. */
	isAlive: (endpointId: string) => boolean;
	onCrash: (crash: DetectedCrash) => void;
};

/** A crashed endpoint and what was in flight there. */
export type DetectedCrash = {
	endpointId: string;
	/** Fingerprints of the requests. */
	requests: string[];
	/** Numbers of requests by the fingerprints of requests and of parts of their prompts. */
	inFlight: Map<string, InFlightCount>;
};

/** A request whose connection broke. */
export type BrokenRequest = QuarantinedContent & {
	/** Whether its answer had begun and had no complete event yet. */
	isBeginning: boolean;
};

/** Time for which the requests of one crash are collected into one report, ms: all connections to a crashing endpoint break within a few ms. */
const collectionWindowMs = 15;
/** Time after which an endpoint that control still lists did not crash when its connections broke, ms: a crashed one misses a heartbeat or two, or its next incarnation starts after some seconds. */
const undecidedTtlMs = 15_000;
/** Time after a crash within which connections to that incarnation break because of it, ms; by then its successor may listen. */
const crashBreakMs = 5000;
/** Shortest time between two reports that the same endpoint refuses connections, ms. */
const refusalReportIntervalMs = 1000;
/** Maximum number of endpoints with recently broken connections. */
const maxUndecided = 256;

type BrokenEndpoint = {
	endpoint: FleetEndpoint;
	contents: BrokenRequest[];
	/** When its crash was reported, ms; undefined if it wasn't. */
	crashedAt: number | undefined;
	isCollecting: boolean;
	brokenAt: number;
};

/** Counts requests by their fingerprints and by those of the parts of their prompts. */
const countContents = (contents: readonly BrokenRequest[]): Map<string, InFlightCount> =>
	contents.reduce((counts, {fingerprint, partFingerprints, isBeginning}) => {
		[fingerprint, ...partFingerprints].forEach(each => {
			const {requests, beginnings} = counts.get(each) ?? {requests: 0, beginnings: 0};
			counts.set(each, {requests: requests + 1, beginnings: beginnings + Number(isBeginning)});
		});
		return counts;
	}, new Map<string, InFlightCount>());

export class CrashDetector {
	private readonly broken = new BoundedMap<string, BrokenEndpoint>(maxUndecided);
	/** When endpoints that refused a connection were last reported, ms. */
	private readonly refused = new BoundedMap<string, number>(maxUndecided);

	constructor(private readonly options: CrashDetectorOptions) {}

	/** Records that the connection of a request to an endpoint broke for a reason other than the caller's disconnect. */
	recordBrokenConnection(endpoint: FleetEndpoint, content: BrokenRequest): void {
		const broken = this.getOrCreate(endpoint);
		broken.contents.push(content);
		if (!broken.isCollecting) {
			broken.isCollecting = true;
			setTimeout(() => {
				void this.decide(broken);
			}, collectionWindowMs);
		}
	}

	/**
	 * Records that nobody listened when a request was to be sent, so that others learn of the crash. What broke off there earlier isn't suspected of
	 * it. Reported again after a while: control reverts the record when heartbeats go on after the last report.
	 */
	recordRefusedConnection({id}: FleetEndpoint): void {
		const now = this.options.now();
		const reportedAt = Math.max(this.refused.get(id) ?? Number.NEGATIVE_INFINITY, this.broken.get(id)?.crashedAt ?? Number.NEGATIVE_INFINITY);
		if (now - reportedAt >= refusalReportIntervalMs) {
			this.refused.set(id, now);
			this.options.onCrash({endpointId: id, requests: [], inFlight: new Map()});
		}
	}

	/** Whether no process listens at an address any more; false when that can't be told. */
	async hasStoppedListening(address: string): Promise<boolean> {
		return await this.options.probe(address) === ListenerState.NotListening;
	}

	/** Decides pending endpoints by the state that control reports. */
	reviewUndecided(): void {
		const {now, isAlive} = this.options;
		this.broken.list().forEach(([id, broken]) => {
			if (now() - broken.brokenAt > undecidedTtlMs) {
				this.broken.delete(id);
			} else if (broken.crashedAt === undefined && !isAlive(id)) {
				this.reportCrash(broken);
			}
		});
	}

	private getOrCreate(endpoint: FleetEndpoint): BrokenEndpoint {
		const known = this.broken.get(endpoint.id);
		const broken = known ?? {
			endpoint, contents: [], crashedAt: undefined, isCollecting: false, brokenAt: 0,
		};
		broken.brokenAt = this.options.now();
		this.broken.set(endpoint.id, broken);
		return broken;
	}

	private async decide(broken: BrokenEndpoint): Promise<void> {
		const hasJustCrashed = broken.crashedAt !== undefined && this.options.now() - broken.crashedAt < crashBreakMs;
		const state = hasJustCrashed ? ListenerState.NotListening : await this.options.probe(broken.endpoint.address);
		broken.isCollecting = false;
		if (state === ListenerState.NotListening) {
			this.reportCrash(broken);
		}
	}

	private reportCrash(broken: BrokenEndpoint): void {
		broken.crashedAt = this.options.now();
		this.options.onCrash({
			endpointId: broken.endpoint.id, requests: [...new Set(broken.contents.map(({fingerprint}) => fingerprint))], inFlight: countContents(broken.contents),
		});
		broken.contents = [];
	}
}
