/**
 * Counts the entries that share what is allowed to all entries together, at the leader.
 *
 * A new leader has heard of none of them. What it counted from the first reports would be too few, and each of these entries would take
 * a part that others have too. So until all entries have had time to report, the largest count that one of them was told before counts.
 */

/** Time for which a report counts, ms: three intervals between reports. */
const reportTtlMs = 3000;

/** Part of a report; without `knownEntries` its entry was told no count yet. */
type EntryCountReport = {entry: string; knownEntries?: number | undefined};

/** Times are monotonic, ms. */
export class EntryCount {
	private term: number | undefined;
	/** Time of the first report of the term. */
	private startedAt = 0;
	private readonly reportedAt = new Map<string, number>();
	/** Largest count that an entry was told by a former leader. */
	private formerCount = 0;

	/** Records a report that an entry sent to the leader of a term, with the count that it knows. */
	record({entry, knownEntries = 0}: EntryCountReport, term: number, now: number): void {
		if (this.term !== term) {
			this.term = term;
			this.startedAt = now;
			this.reportedAt.clear();
			this.formerCount = 0;
		}

		this.formerCount = Math.max(this.formerCount, knownEntries);
		this.reportedAt.set(entry, now);
	}

	/** Counts the entries whose last report has not expired, at the beginning of a term at least as many as before. */
	count(now: number): number {
		[...this.reportedAt].filter(([, at]) => now - at >= reportTtlMs).forEach(([entry]) => {
			this.reportedAt.delete(entry);
		});
		return now - this.startedAt >= reportTtlMs ? this.reportedAt.size : Math.max(this.reportedAt.size, this.formerCount);
	}
}
