/**
 * Quarantines requests, and parts of prompts, whose requests this entry then sends to no endpoint: those that control has quarantined, and
 * those that crashed enough endpoints when sent by this entry, so that they are stopped even while control is unreachable. What was answered
 * before it never quarantines by itself: other entries may have seen it answered since.
 *
 * Endpoints crash for other reasons too. What was answered after a crash did not cause it, so answers are remembered with the crashes that
 * were known when their requests were sent. Where they speak against what control suspects, this entry says so.
 */

import {
	crashLimit, CrashHistory, isPartFingerprint, quarantineMs, reachesCrashLimit, type CrashReport, type QuarantineChange, type SuccessReport,
} from 'mastvalve-fleet';
import {BoundedMap} from 'mastvalve-utils';
import type {InFlightCount, QuarantinedContent} from './request-content.js';
import {AnsweredContents, type AnsweredContent, type CrashMark} from './answered-content.js';
import {SilentCrashes} from './silent-crashes.js';

/** The entry's copy of control's quarantine. */
export type SharedQuarantine = {
	/** Number of the newest crash that control has recorded, as far as this entry has heard. */
	readonly crashCount: number;
	/** When control was last heard, monotonic ms. */
	readonly heardAt: number;
	/** Returns when this entry was notified that a request or a part is quarantined, monotonic ms; undefined if it isn't. */
	findQuarantinedAt: (fingerprint: string) => number | undefined;
	findSuspicion: (fingerprint: string) => QuarantineChange | undefined;
	/** Returns all that control suspects or has quarantined, with the crashes that count against it. */
	listSuspicions: () => QuarantineChange[];
};

/** Why a request is refused, and how much longer, ms. */
export type Quarantined = {fingerprint: string; remainingMs: number};

/** Maximum number of requests that this entry has quarantined itself. */
const maxLocal = 100;
/** Time after which control has decided on the crashes that this entry has reported, ms: reports are repeated until a leader has recorded them. */
const controlDecisionMs = 5000;
/** Time without word of control after which an entry decides by itself, ms; it hears of control twice a second. */
const controlSilenceMs = 1000;

/** Quarantine of one entry. */
export class RequestQuarantine {
	private readonly crashes = new CrashHistory();
	/** When this entry quarantined something itself, by fingerprint; monotonic ms. */
	private readonly localTimes = new BoundedMap<string, number>(maxLocal);
	private readonly answered: AnsweredContents;
	private readonly silentCrashes: SilentCrashes;
	private revision = 0;

	/** `now` is a monotonic clock, ms; `reportSuccess` reports what speaks against control's suspicions. */
	constructor(private readonly shared: SharedQuarantine, private readonly now: () => number, private readonly reportSuccess: (report: SuccessReport) => void = () => undefined) {
		this.answered = new AnsweredContents(now);
		this.silentCrashes = new SilentCrashes(() => shared.heardAt);
	}

	/** Returns the crashes that are known now, for requests that are sent now. */
	takeMark(): CrashMark {
		return {shared: this.shared.crashCount, local: this.crashes.crashCount};
	}

	/** Returns for what a request is quarantined; undefined if it may be sent. */
	findQuarantined({fingerprint, partFingerprints}: QuarantinedContent): Quarantined | undefined {
		return [fingerprint, ...partFingerprints]
			.flatMap(each => ({fingerprint: each, remainingMs: this.findRemainingMs(each)}))
			.find((each): each is Quarantined => each.remainingMs !== undefined);
	}

	/** Records a request that was answered whole; `hasBegun` is whether its beginning was recorded. */
	recordAnswered({fingerprint, partFingerprints}: QuarantinedContent, sentAt: CrashMark, hasBegun: boolean): void {
		this.answered.recordAnswered(fingerprint, sentAt, false);
		partFingerprints.forEach(part => {
			this.answered.recordAnswered(part, sentAt, hasBegun);
		});
		this.clearSuspects([fingerprint, ...partFingerprints]);
	}

	/** Records a request whose answer has gone on after its beginning. That says something of its parts, but not of the whole request. */
	recordBegun({partFingerprints}: QuarantinedContent, sentAt: CrashMark): void {
		partFingerprints.forEach(part => {
			this.answered.recordBegun(part, sentAt);
		});
		this.clearSuspects(partFingerprints);
	}

	/** Creates the report of a crash from the numbers of requests in flight there by what they have in common. */
	createReport(endpointId: string, {requests, inFlight}: {requests: readonly string[]; inFlight: ReadonlyMap<string, InFlightCount>}): CrashReport {
		return {
			endpointId,
			fingerprints: requests.filter(fingerprint => this.answered.get(fingerprint) === undefined),
			suspects: [...inFlight].map(([fingerprint, count]) => ({fingerprint, ...count, successes: this.answered.get(fingerprint)?.successes ?? 0})),
		};
	}

	/** Records that an endpoint crashed while running requests of this entry. */
	recordCrash(report: CrashReport): void {
		this.revision += 1;
		const suspects = report.suspects ?? [];
		this.crashes.record({...report, suspects: suspects.filter(({fingerprint}) => !isPartFingerprint(fingerprint))}, this.revision).forEach(fingerprint => {
			this.localTimes.set(fingerprint, this.now());
		});
		// Another entry may have had the beginning answer that crashed the endpoint.
		suspects.filter(({fingerprint, beginnings}) => beginnings > 0 && isPartFingerprint(fingerprint)).forEach(({fingerprint}) => {
			this.silentCrashes.record(fingerprint);
		});
	}

	/** Reports all answers that speak against what control suspects by now. */
	reviewSuspicions(): void {
		this.shared.listSuspicions().forEach(suspicion => {
			this.contradict(suspicion);
		});
	}

	private findRemainingMs(fingerprint: string): number | undefined {
		const quarantinedAt = this.findSharedTime(fingerprint) ?? this.findLocalTime(fingerprint);
		const remainingMs = quarantinedAt === undefined ? 0 : quarantinedAt + quarantineMs - this.now();
		return remainingMs > 0 ? remainingMs : undefined;
	}

	/** Returns when control has quarantined something, unless this entry knows answers that control doesn't know yet. */
	private findSharedTime(fingerprint: string): number | undefined {
		const at = this.shared.findQuarantinedAt(fingerprint);
		const content = at === undefined ? undefined : this.answered.get(fingerprint);
		if (!content) {
			return at;
		}

		const suspicion = this.shared.findSuspicion(fingerprint);
		// A control instance of an earlier version doesn't tell the crashes, and asks for no answers.
		return suspicion?.crashes && this.isBeyondLimit(suspicion.crashes, suspicion, content) ? at : undefined;
	}

	private isBeyondLimit(crashes: readonly number[], {begunNumber = 0}: QuarantineChange, {answered, begun}: AnsweredContent): boolean {
		return reachesCrashLimit({
			crashes: crashes.filter(crash => crash > answered.shared), begunNumber: Math.max(begunNumber, begun.shared), isSound: true,
		});
	}

	/** Returns when this entry has quarantined something itself. */
	private findLocalTime(fingerprint: string): number | undefined {
		return isPartFingerprint(fingerprint) ? this.findSilentTime(fingerprint) : this.findRequestTime(fingerprint);
	}

	/** Returns when this entry has quarantined a request, until control has decided on it. */
	private findRequestTime(fingerprint: string): number | undefined {
		const at = this.localTimes.get(fingerprint);
		return at !== undefined && this.crashes.isQuarantined(fingerprint) && this.shared.heardAt < at + controlDecisionMs ? at : undefined;
	}

	/** Returns since when control has been silent about a part that was never answered and has crashed enough endpoints, by control's count and by what this entry has seen since. */
	private findSilentTime(fingerprint: string): number | undefined {
		const {heardAt} = this.shared;
		const {crashes = [], isSound = false} = this.shared.findSuspicion(fingerprint) ?? {};
		const isNeverAnswered = !isSound && this.answered.get(fingerprint) === undefined;
		const count = this.silentCrashes.count(fingerprint);
		return isNeverAnswered && this.now() - heardAt > controlSilenceMs && count > 0 && crashes.length + count >= crashLimit ? heardAt : undefined;
	}

	private clearSuspects(fingerprints: readonly string[]): void {
		fingerprints.forEach(fingerprint => {
			const content = this.answered.get(fingerprint);
			const suspicion = this.shared.findSuspicion(fingerprint);
			if (content) {
				this.revision += 1;
				this.crashes.recordSuccesses([{
					fingerprint, answeredNumber: content.answered.local, begunNumber: content.begun.local, successes: content.successes,
				}], this.revision);
			}

			if (suspicion) {
				this.contradict(suspicion);
			}
		});
	}

	/** Reports the answers to requests with what control suspects, if they change anything. */
	private contradict({fingerprint, crashes = [], begunNumber = 0, isSound = false}: QuarantineChange): void {
		const content = this.answered.get(fingerprint);
		if (!content) {
			return;
		}

		const {answered, begun, successes} = content;
		const isNews = crashes.some(crash => crash <= answered.shared || (crash > begunNumber && crash <= begun.shared));
		if (isNews || !isSound) {
			this.reportSuccess({
				fingerprint, answeredNumber: answered.shared, begunNumber: begun.shared, successes,
			});
		}
	}
}
