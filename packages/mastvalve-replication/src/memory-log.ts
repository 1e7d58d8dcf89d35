/**
 * In-memory part of the replicated log.
 */

import {EntryKind, type LogEntry} from './log-entry.js';
import type {Membership} from './membership.js';
import type {Snapshot} from './snapshot.js';

/** Holds the entries after a base index, which is the index of the snapshot or slightly before it. */
export class MemoryLog {
	private entries: LogEntry[] = [];
	private baseIndex = 0;
	private baseTerm = 0;
	private baseMembership: Membership;

	constructor(initialMembership: Membership, public snapshot: Snapshot | undefined, entries: LogEntry[]) {
		this.baseMembership = snapshot?.membership ?? initialMembership;
		this.baseIndex = snapshot?.index ?? 0;
		this.baseTerm = snapshot?.term ?? 0;
		this.entries = entries;
	}

	get lastIndex(): number {
		return this.baseIndex + this.entries.length;
	}

	get lastTerm(): number {
		return this.entries.at(-1)?.term ?? this.baseTerm;
	}

	/** Index of the first entry held in memory. */
	get firstIndex(): number {
		return this.baseIndex + 1;
	}

	/** Returns the term of an entry; undefined when the entry is not held in memory. */
	termAt(index: number): number | undefined {
		return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
	}

	entryAt(index: number): LogEntry | undefined {
		return index > this.baseIndex ? this.entries[index - this.baseIndex - 1] : undefined;
	}

	/** Returns at most `limit` entries, starting at index `from`. */
	read(from: number, limit = Number.POSITIVE_INFINITY): LogEntry[] {
		const start = Math.max(0, from - this.baseIndex - 1);
		return this.entries.slice(start, start + limit);
	}

	append(entries: readonly LogEntry[]): void {
		this.entries.push(...entries);
	}

	truncateFrom(index: number): void {
		this.entries.length = Math.max(0, index - this.baseIndex - 1);
	}

	/** Sets the snapshot and drops all earlier entries except the last `trailing` ones. */
	compact(snapshot: Snapshot, trailing: number): void {
		const base = Math.max(this.baseIndex, snapshot.index - trailing);
		const dropped = this.entries.slice(0, base - this.baseIndex);
		this.baseMembership = latestMembership(dropped) ?? this.baseMembership;
		this.baseTerm = this.termAt(base) ?? snapshot.term;
		this.entries = this.entries.slice(base - this.baseIndex);
		this.baseIndex = base;
		this.snapshot = snapshot;
	}

	/** Replaces the whole log by a snapshot. */
	reset(snapshot: Snapshot): void {
		this.snapshot = snapshot;
		this.entries = [];
		this.baseIndex = snapshot.index;
		this.baseTerm = snapshot.term;
		this.baseMembership = snapshot.membership;
	}

	/** Returns the membership in effect after all entries up to `index`. */
	membershipAt(index = this.lastIndex): Membership {
		return latestMembership(this.read(this.firstIndex, index - this.baseIndex)) ?? this.baseMembership;
	}

	/** Returns the index of the newest membership entry in memory; 0 if there is none. */
	lastMembershipIndex(): number {
		return this.entries.findLast(entry => entry.kind === EntryKind.Membership)?.index ?? 0;
	}
}

const latestMembership = (entries: readonly LogEntry[]): Membership | undefined => {
	const entry = entries.findLast(candidate => candidate.kind === EntryKind.Membership);
	return entry?.kind === EntryKind.Membership ? entry.membership : undefined;
};
