/**
 * Accepts each claim once, so that a dispatch that arrives twice runs once.
 *
 * Claims are log indexes. A sidecar that starts knows the newest revision; it refuses claims that are older, since a
 * former process may have run them already.
 */

/** Claims that are remembered one by one; below the smallest of them all are refused. */
const maxRemembered = 20_000;

/** One sidecar's guard. */
export class ClaimGuard {
	private readonly accepted = new Set<number>();

	/** Claims up to `floor` are refused. */
	constructor(private floor: number) {}

	/** True the first time. */
	accept(claim: number): boolean {
		if (claim <= this.floor || this.accepted.has(claim)) {
			return false;
		}

		this.accepted.add(claim);
		if (this.accepted.size > maxRemembered) {
			this.forgetOldest();
		}

		return true;
	}

	private forgetOldest(): void {
		const oldest = Math.min(...this.accepted);
		this.accepted.delete(oldest);
		this.floor = Math.max(this.floor, oldest);
	}
}
