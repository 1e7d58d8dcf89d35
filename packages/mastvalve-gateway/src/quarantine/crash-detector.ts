/**
 * Tells endpoints that crashed from connections that broke, and collects what each of them was running.
 *
 * A broken connection says little: it may have been reset, or its answer spoilt, while the endpoint goes on. That the
 * endpoint has crashed is shown by nobody listening at its address any more, or by control, which learns of the next one there.
 */

import type {CrashReport, FleetEndpoint} from 'mastvalve-fleet';
import {BoundedMap} from 'mastvalve-utils';
import {ListenerState} from './probe-listener.js';

/** What the watch needs. */
export type CrashDetectorOptions = {
	/** Monotonic, ms. */
	now: () => number;
	probe: (address: string) => Promise<ListenerState>;
	/** Whether control still counts an endpoint among those that live. */
	isAlive: (endpointId: string) => boolean;
	/** Whether a request with this fingerprint was answered whole lately, so that it can't be what ends endpoints. */
	hasSucceededRecently: (fingerprint: string) => boolean;
	onCrash: (report: CrashReport) => void;
};

/** All connections to an endpoint that crashes break within a few ms; its requests are told together, ms. */
const collectionWindowMs = 15;
/** An endpoint whose end control has not noted by then did not end when the connections broke, ms: it misses a heartbeat or two, or another one starts there after some seconds. */
const undecidedTtlMs = 15_000;
/** Endpoints whose connections broke lately. */
const maxUndecided = 256;

type BrokenEndpoint = {endpoint: FleetEndpoint; fingerprints: Set<string>; isCrashed: boolean; isCollecting: boolean; brokenAt: number};

/** The watch. */
export class CrashDetector {
	private readonly broken = new BoundedMap<string, BrokenEndpoint>(maxUndecided);

	constructor(private readonly options: CrashDetectorOptions) {}

	/** A request broke off at an endpoint, and not because its caller left. */
	recordBrokenConnection(endpoint: FleetEndpoint, fingerprint: string): void {
		if (this.options.hasSucceededRecently(fingerprint)) {
			return;
		}

		const broken = this.getOrCreate(endpoint);
		broken.fingerprints.add(fingerprint);
		if (!broken.isCollecting) {
			broken.isCollecting = true;
			setTimeout(() => {
				void this.decide(broken);
			}, collectionWindowMs);
		}
	}

	/** Looks at what control says of endpoints that were not decided on. */
	reviewUndecided(): void {
		const {now, isAlive} = this.options;
		this.broken.list().forEach(([id, broken]) => {
			if (!broken.isCrashed && now() - broken.brokenAt > undecidedTtlMs) {
				this.broken.delete(id);
			} else if (!broken.isCrashed && !isAlive(id)) {
				this.reportCrash(broken);
			}
		});
	}

	private getOrCreate(endpoint: FleetEndpoint): BrokenEndpoint {
		const known = this.broken.get(endpoint.id);
		const broken = known ?? {
			endpoint, fingerprints: new Set<string>(), isCrashed: false, isCollecting: false, brokenAt: 0,
		};
		broken.brokenAt = this.options.now();
		this.broken.set(endpoint.id, broken);
		return broken;
	}

	private async decide(broken: BrokenEndpoint): Promise<void> {
		const state = broken.isCrashed ? ListenerState.NotListening : await this.options.probe(broken.endpoint.address);
		broken.isCollecting = false;
		if (state === ListenerState.NotListening) {
			this.reportCrash(broken);
		}
	}

	private reportCrash(broken: BrokenEndpoint): void {
		broken.isCrashed = true;
		this.options.onCrash({endpointId: broken.endpoint.id, fingerprints: [...broken.fingerprints]});
		broken.fingerprints.clear();
	}
}
