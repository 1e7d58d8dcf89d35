/**
 * Quarantines requests, which this entry then sends to no endpoint: those that control has quarantined, and those that crashed
 * enough endpoints when sent by this entry alone, so that they are stopped even while control is unreachable.
 *
 * A request that was recently answered completely is exempt. Many callers send the same short requests; without the exemption,
 * one that is in flight when endpoints crash for another reason would be refused for all callers.
 */

import {CrashHistory, quarantineMs, type CrashReport} from 'mastvalve-fleet';
import {BoundedMap} from 'mastvalve-utils';

/** The entry's copy of control's quarantine. */
export type SharedQuarantine = {
	/** Returns when this entry was notified that a request is quarantined, monotonic ms; undefined if it isn't. */
	findQuarantinedAt: (fingerprint: string) => number | undefined;
};

/** Maximum number of remembered successful requests; those that many callers send are among the most recent. */
const maxSuccesses = 2048;
/** Time for which a success exempts a request, ms; an older one may stem from a software version that the endpoints no longer run. */
const successTtlMs = 60_000;
/** Maximum number of requests that this entry has quarantined itself. */
const maxLocal = 100;

/** Quarantine of one entry. */
export class RequestQuarantine {
	private readonly crashes = new CrashHistory();
	/** When this entry quarantined requests itself, by fingerprint; monotonic ms. */
	private readonly localTimes = new BoundedMap<string, number>(maxLocal);
	private readonly succeededAt = new BoundedMap<string, number>(maxSuccesses);
	private revision = 0;

	/** `now` is a monotonic clock, ms. */
	constructor(private readonly shared: SharedQuarantine, private readonly now: () => number) {}

	/** Returns how much longer a request is quarantined, ms; undefined if it may be sent. */
	findRemainingMs(fingerprint: string): number | undefined {
		const quarantinedAt = this.shared.findQuarantinedAt(fingerprint) ?? this.localTimes.get(fingerprint);
		if (quarantinedAt === undefined || this.hasSucceededRecently(fingerprint)) {
			return undefined;
		}

		const remainingMs = quarantinedAt + quarantineMs - this.now();
		return remainingMs > 0 ? remainingMs : undefined;
	}

	/** Whether a request was recently answered completely, which rules it out as the cause of crashes. */
	hasSucceededRecently(fingerprint: string): boolean {
		return this.now() - (this.succeededAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < successTtlMs;
	}

	/** Records that a request was answered successfully and completely. */
	recordSuccess(fingerprint: string): void {
		this.succeededAt.set(fingerprint, this.now());
	}

	/** Records that an endpoint crashed while running requests of this entry. */
	recordCrash(report: CrashReport): void {
		this.revision += 1;
		this.crashes.record(report, this.revision).forEach(fingerprint => {
			this.localTimes.set(fingerprint, this.now());
		});
	}
}
