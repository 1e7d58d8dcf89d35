/**
 * Which requests this entry hands to no endpoint: those that control has quarantined, and those that have ended enough
 * endpoints under this entry alone, so that it needs no control to stop.
 *
 * A request that was answered whole a while ago is never among them. Many callers send the same short calls; whichever is
 * under way when endpoints crash for another reason would be refused to all of them.
 */

import {CrashHistory, quarantineMs, type CrashReport} from 'mastvalve-fleet';
import {BoundedMap} from 'mastvalve-utils';

/** What the entry knows of control's quarantine. */
export type SharedQuarantine = {
	/** Since when this entry knows that a request is quarantined, monotonic ms; undefined when it isn't. */
	findQuarantinedAt: (fingerprint: string) => number | undefined;
};

/** Requests answered whole that are remembered; those that many callers send are among the last ones. */
const maxSuccesses = 2048;
/** An answer that is older says nothing of the software that runs at the endpoints now, ms. */
const successTtlMs = 60_000;
/** Requests that this entry has quarantined by itself. */
const maxLocal = 100;

/** The quarantine as one entry keeps it. */
export class RequestQuarantine {
	private readonly crashes = new CrashHistory();
	private readonly localTimes = new BoundedMap<string, number>(maxLocal);
	private readonly succeededAt = new BoundedMap<string, number>(maxSuccesses);
	private revision = 0;

	/** `now` is monotonic, ms. */
	constructor(private readonly shared: SharedQuarantine, private readonly now: () => number) {}

	/** How much longer a request is not handed to any endpoint, ms; undefined when it may be. */
	findRemainingMs(fingerprint: string): number | undefined {
		const quarantinedAt = this.shared.findQuarantinedAt(fingerprint) ?? this.localTimes.get(fingerprint);
		if (quarantinedAt === undefined || this.hasSucceededRecently(fingerprint)) {
			return undefined;
		}

		const remainingMs = quarantinedAt + quarantineMs - this.now();
		return remainingMs > 0 ? remainingMs : undefined;
	}

	/** Whether a request was answered whole lately, so that it can't be what ends endpoints. */
	hasSucceededRecently(fingerprint: string): boolean {
		return this.now() - (this.succeededAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < successTtlMs;
	}

	/** A request was answered whole and with success. */
	recordSuccess(fingerprint: string): void {
		this.succeededAt.set(fingerprint, this.now());
	}

	/** An endpoint crashed with requests of this entry. */
	recordCrash(report: CrashReport): void {
		this.revision += 1;
		this.crashes.record(report, this.revision).forEach(fingerprint => {
			this.localTimes.set(fingerprint, this.now());
		});
	}
}
