/**
 * Records what was in flight when endpoints crashed, and quarantines what causes the crashes (`suspect.ts`). Deterministic.
 *
 * The requests in flight at a crash become suspects, and so do the parts of their prompts; where answers were just beginning, only the parts
 * of those, since endpoints crash under a part when they begin to answer. Crashes are numbered by incarnation, so that
 * reports of the same crash by several entries, or twice by one, count once. Followers receive suspects with several crashes, so that
 * entries report the requests that were answered all the same.
 */

import {BoundedMap} from 'mastvalve-utils';
import {ChangeFeed, type FeedPosition} from '../state/change-feed.js';
import type {CrashReport, ReportedSuspect, SuccessReport} from './crash-report.js';
import {isPartFingerprint} from './part-fingerprint.js';
import type {QuarantineChange} from './quarantine-change.js';
import {
	explains, isSound, reachesCrashLimit, type Suspect,
} from './suspect.js';

/** Duration of a quarantine, ms. It expires because a later software version of the endpoints may handle the request. */
export const quarantineMs = 30 * 60_000;
/** Number of crashes from which followers receive a suspect; with one, each crash would be sent with all that was in flight. */
const publishLimit = 2;
/** Maximum number of suspects: all requests of 64 engines with 64 requests each that fail together. */
const maxSuspects = 4096;
/** Maximum number of quarantines; there is rarely more than one at a time. */
const maxQuarantined = 1000;
/** Maximum number of former quarantines and of published suspects. */
const maxPublished = 1000;
/** Maximum number of crashed incarnations whose reports are recognised as reports of one crash. */
const maxCrashes = 1024;
/** Maximum number of crashes that are counted against one suspect. */
const maxCounted = 16;
/** Size of a change in JSON without its crashes, and of one crash, bytes. */
const changeBytes = 110;
const crashBytes = 6;

/** A suspect as plain data: fingerprint, requests, successes, crashes and begun number, and the probations if there were any. */
type SuspectRow = [string, number, number, number[], number, number?, boolean?];

const toRow = ({fingerprint, requests, successes, crashes, begunNumber, probations, isOnProbation}: Suspect): SuspectRow =>
	(probations > 0 ? [fingerprint, requests, successes, crashes, begunNumber, probations, isOnProbation] : [fingerprint, requests, successes, crashes, begunNumber]);

const fromRow = ([fingerprint, requests, successes, crashes, begunNumber, probations = 0, isOnProbation = false]: SuspectRow): Suspect => ({
	fingerprint, requests, successes, crashes, begunNumber, probations, isOnProbation,
});

const createSuspect = (fingerprint: string): Suspect => fromRow([fingerprint, 0, 0, [], 0]);

/** The history as plain data. */
export type CrashSnapshot = {
	/** Crashed incarnations by fingerprint, the least recent suspect first; empty except in snapshots of earlier versions, which knew requests only. */
	suspects: Array<[string, string[]]>;
	/** The newest crash number, the numbers by incarnation, and those with answers that were just beginning; missing in snapshots of earlier versions. */
	crashes?: {count: number; numbers: Array<[string, number]>; withBeginnings: number[]};
	/** The least recent suspect first; missing in snapshots of earlier versions. */
	counted?: SuspectRow[];
	quarantine: Array<QuarantineChange & {revision: number}>;
	forgotten: FeedPosition;
};

export class CrashHistory {
	static restore(snapshot: CrashSnapshot | undefined): CrashHistory {
		const history = new CrashHistory(snapshot?.forgotten);
		history.crashCount = snapshot?.crashes?.count ?? 0;
		snapshot?.crashes?.numbers.forEach(([incarnation, number]) => {
			history.crashNumbers.set(incarnation, number);
		});
		snapshot?.crashes?.withBeginnings.forEach(number => {
			history.crashesWithBeginnings.set(number, true);
		});
		snapshot?.suspects.forEach(([fingerprint, incarnations]) => {
			const crashes = incarnations.map(incarnation => history.numberCrash(incarnation));
			history.suspects.set(fingerprint, {...createSuspect(fingerprint), requests: crashes.length, crashes});
		});
		snapshot?.counted?.forEach(row => {
			const suspect = fromRow(row);
			history.suspects.set(suspect.fingerprint, suspect);
		});
		snapshot?.quarantine.forEach(({revision, ...change}) => {
			history.publish(change, revision);
		});
		return history;
	}

	readonly feed: ChangeFeed<QuarantineChange>;
	/** Number of the newest crash. */
	crashCount = 0;
	/** Revision of the newest change that followers receive. */
	changedAt = -1;
	private readonly crashNumbers = new BoundedMap<string, number>(maxCrashes);
	/** Numbers of the crashes at which answers were just beginning. */
	private readonly crashesWithBeginnings = new BoundedMap<number, true>(maxCrashes);
	private readonly suspects = new BoundedMap<string, Suspect>(maxSuspects);
	private readonly quarantine = new BoundedMap<string, true>(maxQuarantined);
	private readonly published = new BoundedMap<string, true>(maxPublished);

	constructor(forgotten?: FeedPosition) {
		this.feed = new ChangeFeed(({crashes = []}) => changeBytes + (crashBytes * crashes.length), forgotten);
	}

	/** Records a crash. Returns the fingerprints that it quarantines: of what was never answered, or is on probation. */
	record({endpointId, fingerprints, suspects}: CrashReport, revision: number): string[] {
		const crash = this.numberCrash(endpointId);
		const reported = suspects ?? fingerprints.map((fingerprint): ReportedSuspect => ({
			fingerprint, requests: 1, beginnings: 0, successes: 0,
		}));
		if (reported.some(({beginnings}) => beginnings > 0)) {
			this.recordBeginnings(crash, revision);
		}

		const hasBeginnings = this.crashesWithBeginnings.get(crash) !== undefined;
		const isCounted = ({fingerprint, beginnings}: ReportedSuspect): boolean => !hasBeginnings || beginnings > 0 || !isPartFingerprint(fingerprint);
		reported.filter(each => !isCounted(each)).forEach(each => {
			this.countRequests(each);
		});
		const counted = reported.filter(each => isCounted(each)).map(each => this.countCrash(each, crash));
		return counted.flatMap(({suspect, isNews}) => {
			const {fingerprint, crashes} = suspect;
			const wasQuarantined = this.isQuarantined(fingerprint);
			const isQuarantined = wasQuarantined || ((suspect.isOnProbation && isNews) || (!isSound(suspect) && this.causesCrashes(suspect)));
			if (isQuarantined !== wasQuarantined || (isNews && crashes.length >= publishLimit)) {
				this.publishSuspect(suspect, isQuarantined, revision);
			}

			return isQuarantined && !wasQuarantined ? [fingerprint] : [];
		});
	}

	/** Whether something that was answered before is to be quarantined unless answers clear it within `contradictionMs`. */
	isDue(fingerprint: string): boolean {
		const suspect = this.suspects.get(fingerprint);
		return suspect !== undefined && isSound(suspect) && !suspect.isOnProbation && !this.isQuarantined(fingerprint) && this.causesCrashes(suspect);
	}

	/** Returns the fingerprints of all that is due. */
	listDue(): string[] {
		return this.suspects.list().filter(([fingerprint]) => this.isDue(fingerprint)).map(([fingerprint]) => fingerprint);
	}

	/** Quarantines what is still due. Returns its fingerprints. */
	quarantineDue(fingerprints: readonly string[], revision: number): string[] {
		const due = fingerprints.filter(fingerprint => this.isDue(fingerprint));
		due.forEach(fingerprint => {
			this.publishSuspect(this.suspects.get(fingerprint)!, true, revision);
		});
		return due;
	}

	/** Returns the times that a quarantine was lifted on probation; undefined if it isn't to be lifted, since nothing was ever answered with it. */
	countProbations(fingerprint: string): number | undefined {
		const suspect = this.suspects.get(fingerprint);
		return suspect && isSound(suspect) && this.isQuarantined(fingerprint) ? suspect.probations : undefined;
	}

	/** Lifts quarantines; one more crash begins them again. Returns whether the state changed. */
	beginProbation(fingerprints: readonly string[], revision: number): boolean {
		const known = fingerprints.filter(fingerprint => this.countProbations(fingerprint) !== undefined);
		known.forEach(fingerprint => {
			const suspect = this.suspects.get(fingerprint)!;
			const released = {...suspect, probations: suspect.probations + 1, isOnProbation: true};
			this.suspects.set(fingerprint, released);
			this.publishSuspect(released, false, revision);
		});
		return known.length > 0;
	}

	/** Whether a report would change anything. */
	isNews({fingerprint, answeredNumber, begunNumber}: SuccessReport): boolean {
		const suspect = this.suspects.get(fingerprint);
		return suspect !== undefined && (!isSound(suspect) || suspect.crashes.some(crash => crash <= answeredNumber || (crash > suspect.begunNumber && crash <= begunNumber)));
	}

	/** Records requests that were answered. Returns the fingerprints whose quarantine it ends. */
	recordSuccesses(reports: readonly SuccessReport[], revision: number): string[] {
		return reports.filter(report => this.isNews(report)).flatMap(({fingerprint, answeredNumber, begunNumber, successes}) => {
			const suspect = this.suspects.get(fingerprint)!;
			const cleared: Suspect = {
				...suspect,
				successes: Math.max(suspect.successes, successes, 1),
				crashes: suspect.crashes.filter(crash => crash > answeredNumber),
				begunNumber: Math.max(suspect.begunNumber, begunNumber),
				isOnProbation: false,
			};
			const wasQuarantined = this.isQuarantined(fingerprint);
			const isQuarantined = wasQuarantined && reachesCrashLimit({...cleared, isSound: true});
			this.suspects.set(fingerprint, cleared);
			this.publishSuspect(cleared, isQuarantined, revision);
			return wasQuarantined && !isQuarantined ? [fingerprint] : [];
		});
	}

	/** Whether a request, or requests with a part, must not be sent to any endpoint. */
	isQuarantined(fingerprint: string): boolean {
		return this.quarantine.get(fingerprint) ?? false;
	}

	/** Returns the fingerprints of all that is quarantined. */
	listQuarantined(): string[] {
		return this.quarantine.list().map(([fingerprint]) => fingerprint);
	}

	/** Ends quarantines; the crashes that led to them no longer count. Returns whether the state changed. */
	release(fingerprints: readonly string[], revision: number): boolean {
		const known = fingerprints.filter(fingerprint => this.isQuarantined(fingerprint));
		known.forEach(fingerprint => {
			this.suspects.delete(fingerprint);
			this.publish({fingerprint, isQuarantined: false}, revision);
		});
		return known.length > 0;
	}

	takeSnapshot(): CrashSnapshot {
		return {
			suspects: [],
			crashes: {count: this.crashCount, numbers: this.crashNumbers.list(), withBeginnings: this.crashesWithBeginnings.list().map(([number]) => number)},
			counted: this.suspects.list().map(([, suspect]) => toRow(suspect)),
			quarantine: this.feed.list().map(({change, revision}) => ({...change, revision})),
			forgotten: this.feed.forgottenUpTo,
		};
	}

	private causesCrashes(suspect: Suspect): boolean {
		return reachesCrashLimit({...suspect, isSound: isSound(suspect)}) && !this.suspects.list().some(([, other]) => other !== suspect && explains(other, suspect));
	}

	/** Returns the number of an incarnation's crash. */
	private numberCrash(incarnation: string): number {
		const known = this.crashNumbers.get(incarnation);
		if (known !== undefined) {
			return known;
		}

		this.crashCount += 1;
		this.crashNumbers.set(incarnation, this.crashCount);
		return this.crashCount;
	}

	/** Records that answers were just beginning at a crash; parts that earlier reports of it named are cleared of it. */
	private recordBeginnings(crash: number, revision: number): void {
		if (this.crashesWithBeginnings.get(crash) !== undefined) {
			return;
		}

		this.crashesWithBeginnings.set(crash, true);
		this.suspects.list().filter(([fingerprint, {crashes}]) => isPartFingerprint(fingerprint) && crashes.includes(crash)).forEach(([fingerprint, suspect]) => {
			const cleared = {...suspect, crashes: suspect.crashes.filter(each => each !== crash)};
			this.suspects.set(fingerprint, cleared);
			if (suspect.crashes.length >= publishLimit) {
				this.publishSuspect(cleared, this.isQuarantined(fingerprint) && reachesCrashLimit({...cleared, isSound: isSound(cleared)}), revision);
			}
		});
	}

	/** Counts requests that did not cause a crash, if a suspect is shared by them: it is the wider for it. */
	private countRequests({fingerprint, requests, successes}: ReportedSuspect): void {
		const known = this.suspects.get(fingerprint);
		if (known) {
			this.suspects.set(fingerprint, {...known, requests: known.requests + requests, successes: Math.max(known.successes, successes)});
		}
	}

	/** Counts a crash against a suspect; `isNews` is whether followers lack it. */
	private countCrash({fingerprint, requests, successes}: ReportedSuspect, crash: number): {suspect: Suspect; isNews: boolean} {
		const known = this.suspects.get(fingerprint) ?? createSuspect(fingerprint);
		const isKnownCrash = known.crashes.includes(crash);
		const suspect: Suspect = {
			...known,
			requests: known.requests + requests,
			successes: Math.max(known.successes, successes),
			crashes: isKnownCrash ? known.crashes : [...known.crashes, crash].slice(-maxCounted),
		};
		this.suspects.set(fingerprint, suspect);
		return {suspect, isNews: !isKnownCrash || isSound(suspect) !== isSound(known)};
	}

	private publishSuspect(suspect: Suspect, isQuarantined: boolean, revision: number): void {
		const {fingerprint, crashes, begunNumber} = suspect;
		if (isQuarantined) {
			this.suspects.set(fingerprint, {...suspect, isOnProbation: false});
		}

		this.publish({
			fingerprint, isQuarantined, ...(crashes.length > 0 && {crashes}), ...(begunNumber > 0 && {begunNumber}), ...(isSound(suspect) && {isSound: true}),
		}, revision);
	}

	private publish(change: QuarantineChange, revision: number): void {
		const {fingerprint, isQuarantined} = change;
		this.changedAt = revision;
		this.feed.put(fingerprint, change, revision);
		const [to, from] = isQuarantined ? [this.quarantine, this.published] : [this.published, this.quarantine];
		from.delete(fingerprint);
		const evicted = to.set(fingerprint, true);
		if (evicted !== undefined) {
			this.feed.forget(evicted);
		}
	}
}
