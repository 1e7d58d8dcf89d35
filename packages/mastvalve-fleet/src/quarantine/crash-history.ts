/**
 * Records which requests were running when endpoints crashed, and quarantines repeated suspects. Deterministic.
 *
 * All requests that run on a crashing endpoint become suspects. Unrelated requests are rarely part of further crashes; a
 * request that crashes its endpoint is part of each one. Crashes are counted by incarnation, so that reports of the same
 * crash by several entries, or twice by one, count once.
 */

import {BoundedMap} from 'mastvalve-utils';
import {ChangeFeed, type FeedPosition} from '../state/change-feed.js';
import type {CrashReport} from './crash-report.js';
import type {QuarantineChange} from './quarantine-change.js';

/**
 * Number of incarnations that crash while running a request before it is quarantined. With two, a request that ran during two
 * crashes by chance would be refused: a crash interrupts up to 16 other requests (seen in 22 crashes), which are retried elsewhere at once.
 */
export const crashLimit = 3;
/** Duration of a quarantine, ms. It expires because a later software version of the endpoints may handle the request. */
export const quarantineMs = 30 * 60_000;
/** Maximum number of suspects: all requests of 64 engines with 64 requests each that fail together. */
const maxSuspects = 4096;
/** Maximum number of current and former quarantines; there is rarely more than one at a time. */
const maxQuarantined = 1000;
/** Size of a change in JSON, bytes. */
const changeBytes = 60;

/** The history as plain data. */
export type CrashSnapshot = {
	/** Crashed incarnations by fingerprint, the least recent suspect first. */
	suspects: Array<[string, string[]]>;
	quarantine: Array<QuarantineChange & {revision: number}>;
	forgotten: FeedPosition;
};

export class CrashHistory {
	static restore(snapshot: CrashSnapshot | undefined): CrashHistory {
		const history = new CrashHistory(snapshot?.forgotten);
		snapshot?.suspects.forEach(([fingerprint, incarnations]) => {
			history.suspects.set(fingerprint, incarnations);
		});
		snapshot?.quarantine.forEach(({revision, ...change}) => {
			history.recordChange(change, revision);
		});
		return history;
	}

	readonly feed: ChangeFeed<QuarantineChange>;
	private readonly suspects = new BoundedMap<string, string[]>(maxSuspects);
	private readonly quarantine = new BoundedMap<string, boolean>(maxQuarantined);

	constructor(forgotten?: FeedPosition) {
		this.feed = new ChangeFeed(() => changeBytes, forgotten);
	}

	/** Records a crash. Returns the fingerprints of the requests that it quarantines. */
	record({endpointId, fingerprints}: CrashReport, revision: number): string[] {
		const quarantined = fingerprints.filter(fingerprint => !this.isQuarantined(fingerprint) && this.countCrash(fingerprint, endpointId) >= crashLimit);
		quarantined.forEach(fingerprint => {
			this.suspects.delete(fingerprint);
			this.recordChange({fingerprint, isQuarantined: true}, revision);
		});
		return quarantined;
	}

	/** Whether a request must not be sent to any endpoint. */
	isQuarantined(fingerprint: string): boolean {
		return this.quarantine.get(fingerprint) ?? false;
	}

	/** Returns the fingerprints of all quarantined requests. */
	listQuarantined(): string[] {
		return this.quarantine.list().flatMap(([fingerprint, isQuarantined]) => (isQuarantined ? [fingerprint] : []));
	}

	/** Ends quarantines; the crashes that led to them no longer count. Returns whether the state changed. */
	release(fingerprints: readonly string[], revision: number): boolean {
		const known = fingerprints.filter(fingerprint => this.isQuarantined(fingerprint));
		known.forEach(fingerprint => {
			this.recordChange({fingerprint, isQuarantined: false}, revision);
		});
		return known.length > 0;
	}

	takeSnapshot(): CrashSnapshot {
		return {
			suspects: this.suspects.list(),
			quarantine: this.feed.list().map(({change, revision}) => ({...change, revision})),
			forgotten: this.feed.forgottenUpTo,
		};
	}

	/** Counts the incarnations that crashed while running a request, including this one. */
	private countCrash(fingerprint: string, endpointId: string): number {
		const incarnations = this.suspects.get(fingerprint) ?? [];
		const all = incarnations.includes(endpointId) ? incarnations : [...incarnations, endpointId];
		this.suspects.set(fingerprint, all);
		return all.length;
	}

	private recordChange(change: QuarantineChange, revision: number): void {
		this.feed.put(change.fingerprint, change, revision);
		const forgotten = this.quarantine.set(change.fingerprint, change.isQuarantined);
		if (forgotten !== undefined) {
			this.feed.forget(forgotten);
		}
	}
}
