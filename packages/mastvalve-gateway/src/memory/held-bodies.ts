/**
 * Counts the bytes of request bodies that an entry holds, and bounds their sum.
 */

export class HeldBodies {
	/** Bytes held now. */
	bytes = 0;

	constructor(private readonly maxBytes: number) {}

	/** Reserves bytes for part of a body; returns whether they are within the bound. */
	take(bytes: number): boolean {
		if (this.bytes + bytes > this.maxBytes) {
			return false;
		}

		this.bytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.bytes -= bytes;
	}
}
