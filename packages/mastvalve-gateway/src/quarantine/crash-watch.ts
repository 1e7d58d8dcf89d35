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
export type CrashWatchOptions = {
	/** Monotonic, ms. */
	now: () => number;
	probe: (address: string) => Promise<ListenerState>;
	/** Whether control still counts an endpoint among those that live. */
	isAlive: (endpointId: string) => boolean;
	/** Whether a request with this fingerprint was answered whole lately, so that it can't be what ends endpoints. */
	isHarmless: (fingerprint: string) => boolean;
	onCrash: (report: CrashReport) => void;
};

/** All connections to an endpoint that crashes break within a few ms; its requests are told together, ms. */
const collectMs = 15;
/** An endpoint whose end control has not noted by then did not end when the connections broke, ms: it misses a heartbeat or two, or another one starts there after some seconds. */
const undecidedMs = 15_000;
/** Endpoints whose connections broke lately. */
const maxUndecided = 256;

type Broken = {endpoint: FleetEndpoint; fingerprints: Set<string>; isCrashed: boolean; isCollecting: boolean; at: number};

/** The watch. */
export class CrashWatch {
	private readonly broken = new BoundedMap<string, Broken>(maxUndecided);

	constructor(private readonly options: CrashWatchOptions) {}

	/** A request broke off at an endpoint, and not because its caller left. */
	suspect(endpoint: FleetEndpoint, fingerprint: string): void {
		if (this.options.isHarmless(fingerprint)) {
			return;
		}

		const broken = this.findOrBegin(endpoint);
		broken.fingerprints.add(fingerprint);
		if (!broken.isCollecting) {
			broken.isCollecting = true;
			setTimeout(() => {
				void this.decide(broken);
			}, collectMs);
		}
	}

	/** Looks at what control says of endpoints that were not decided on. */
	review(): void {
		const {now, isAlive} = this.options;
		this.broken.list().forEach(([id, broken]) => {
			if (!broken.isCrashed && now() - broken.at > undecidedMs) {
				this.broken.delete(id);
			} else if (!broken.isCrashed && !isAlive(id)) {
				this.tell(broken);
			}
		});
	}

	private findOrBegin(endpoint: FleetEndpoint): Broken {
		const known = this.broken.get(endpoint.id);
		const broken = known ?? {
			endpoint, fingerprints: new Set<string>(), isCrashed: false, isCollecting: false, at: 0,
		};
		broken.at = this.options.now();
		this.broken.set(endpoint.id, broken);
		return broken;
	}

	private async decide(broken: Broken): Promise<void> {
		const state = broken.isCrashed ? ListenerState.Absent : await this.options.probe(broken.endpoint.address);
		broken.isCollecting = false;
		if (state === ListenerState.Absent) {
			this.tell(broken);
		}
	}

	private tell(broken: Broken): void {
		broken.isCrashed = true;
		this.options.onCrash({endpointId: broken.endpoint.id, fingerprints: [...broken.fingerprints]});
		broken.fingerprints.clear();
	}
}
