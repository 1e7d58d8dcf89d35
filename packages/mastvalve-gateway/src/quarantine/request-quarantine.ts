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
	quarantinedAt: (fingerprint: string) => number | undefined;
};

/** Requests answered whole that are remembered; those that many callers send are among the last ones. */
const maxAnswered = 2048;
/** An answer that is older says nothing of the software that runs at the endpoints now, ms. */
const answeredForMs = 60_000;
/** Requests that this entry has quarantined by itself. */
const maxOwn = 100;

/** The quarantine as one entry keeps it. */
export class RequestQuarantine {
	private readonly crashes = new CrashHistory();
	private readonly ownSince = new BoundedMap<string, number>(maxOwn);
	private readonly answeredAt = new BoundedMap<string, number>(maxAnswered);
	private revision = 0;

	/** `now` is monotonic, ms. */
	constructor(private readonly shared: SharedQuarantine, private readonly now: () => number) {}

	/** How much longer a request is not handed to any endpoint, ms; undefined when it may be. */
	remainingMs(fingerprint: string): number | undefined {
		const since = this.shared.quarantinedAt(fingerprint) ?? this.ownSince.get(fingerprint);
		if (since === undefined || this.isHarmless(fingerprint)) {
			return undefined;
		}

		const leftMs = since + quarantineMs - this.now();
		return leftMs > 0 ? leftMs : undefined;
	}

	/** Whether a request was answered whole lately, so that it can't be what ends endpoints. */
	isHarmless(fingerprint: string): boolean {
		return this.now() - (this.answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < answeredForMs;
	}

	/** A request was answered whole and with success. */
	recordAnswered(fingerprint: string): void {
		this.answeredAt.set(fingerprint, this.now());
	}

	/** An endpoint crashed with requests of this entry. */
	recordCrash(report: CrashReport): void {
		this.revision += 1;
		this.crashes.record(report, this.revision).forEach(fingerprint => {
			this.ownSince.set(fingerprint, this.now());
		});
	}
}
