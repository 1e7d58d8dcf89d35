/**
 * Which requests were running when endpoints crashed, and which of them are quarantined for it: pure and deterministic.
 *
 * All requests of an endpoint that crashes share the suspicion. The ones that had no part in it come to no second crash,
 * or to few; a request that ends whatever runs it is in every one of them. Crashes are counted by the incarnations of
 * endpoints, so that several entries may report the same one, and one entry may report it twice.
 */

import {BoundedMap} from 'mastvalve-utils';
import {ChangeFeed, type FeedPosition} from '../state/change-feed.js';
import type {CrashReport} from './crash-report.js';
import type {QuarantineChange} from './quarantine-change.js';

/**
 * Lives of endpoints that end under a request before it is quarantined. With two, a request that was near two crashes by
 * chance would be refused: an endpoint that crashes takes up to 16 others with it (22 crashes), which come again elsewhere at once.
 */
export const crashLimit = 3;
/** A quarantine ends by itself, since endpoints get newer software that may bear the request; ms. */
export const quarantineMs = 30 * 60_000;
/** Suspects that are remembered: all requests of 64 engines with 64 requests each that fail together. */
const maxSuspects = 4096;
/** Quarantined requests, and those that were; there is rarely more than one at a time. */
const maxQuarantined = 1000;
/** A change in JSON, bytes. */
const changeBytes = 60;

/** The history as plain data. */
export type CrashSnapshot = {
	/** Lives of endpoints by fingerprint, the one that was near a crash longest ago first. */
	suspects: Array<[string, string[]]>;
	quarantine: Array<QuarantineChange & {revision: number}>;
	forgotten: FeedPosition;
};

/** The history. */
export class CrashHistory {
	static restore(snapshot: CrashSnapshot | undefined): CrashHistory {
		const history = new CrashHistory(snapshot?.forgotten);
		snapshot?.suspects.forEach(([fingerprint, incarnations]) => {
			history.suspects.set(fingerprint, incarnations);
		});
		snapshot?.quarantine.forEach(({revision, ...change}) => {
			history.note(change, revision);
		});
		return history;
	}

	readonly feed: ChangeFeed<QuarantineChange>;
	private readonly suspects = new BoundedMap<string, string[]>(maxSuspects);
	private readonly quarantine = new BoundedMap<string, boolean>(maxQuarantined);

	constructor(forgotten?: FeedPosition) {
		this.feed = new ChangeFeed(() => changeBytes, forgotten);
	}

	/** Takes a crash in. The result names the requests that are quarantined for it. */
	record({endpointId, fingerprints}: CrashReport, revision: number): string[] {
		const quarantined = fingerprints.filter(fingerprint => !this.has(fingerprint) && this.countCrash(fingerprint, endpointId) >= crashLimit);
		quarantined.forEach(fingerprint => {
			this.suspects.delete(fingerprint);
			this.note({fingerprint, isQuarantined: true}, revision);
		});
		return quarantined;
	}

	/** Whether a request is not to be handed to any endpoint. */
	has(fingerprint: string): boolean {
		return this.quarantine.get(fingerprint) ?? false;
	}

	/** All requests that are quarantined. */
	listQuarantined(): string[] {
		return this.quarantine.list().flatMap(([fingerprint, isQuarantined]) => (isQuarantined ? [fingerprint] : []));
	}

	/** Ends quarantines; the crashes that led to them don't count any more. The result tells whether anything changed. */
	release(fingerprints: readonly string[], revision: number): boolean {
		const known = fingerprints.filter(fingerprint => this.has(fingerprint));
		known.forEach(fingerprint => {
			this.note({fingerprint, isQuarantined: false}, revision);
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

	/** The incarnations that have ended under a request, this one included. */
	private countCrash(fingerprint: string, endpointId: string): number {
		const incarnations = this.suspects.get(fingerprint) ?? [];
		const all = incarnations.includes(endpointId) ? incarnations : [...incarnations, endpointId];
		this.suspects.set(fingerprint, all);
		return all.length;
	}

	private note(change: QuarantineChange, revision: number): void {
		this.feed.put(change.fingerprint, change, revision);
		const forgotten = this.quarantine.set(change.fingerprint, change.isQuarantined);
		if (forgotten !== undefined) {
			this.feed.forget(forgotten);
		}
	}
}
