/**
 * Bounds the informational heads (100, 102, 103) that a server sends before the head of its answer. Node's client reads any number of them.
 */

/** Most heads before one answer: servers send one or two, and one that tells its progress each second is heard for half a minute. */
const maxHeads = 32;
/** Most bytes of their fields: four times what one head may have. */
const maxFieldBytes = 65_536;
/** Time from the beginning of a request after which another such head is taken for no progress, ms. */
const maxTimeMs = 30_000;

/** The informational heads before one answer. */
export class InformationalHeads {
	private readonly beganAt: number;
	private count = 0;
	private fieldBytes = 0;

	/** `now` returns monotonic ms. */
	constructor(private readonly now: () => number) {
		this.beganAt = now();
	}

	/** Counts a head with its alternating names and values; returns the bound that it exceeds, or undefined. */
	add(rawHeaders: readonly string[]): string | undefined {
		this.count += 1;
		this.fieldBytes += rawHeaders.reduce((sum, text) => sum + text.length, 0);
		if (this.count > maxHeads) {
			return `there are more than ${maxHeads} informational heads`;
		}

		if (this.fieldBytes > maxFieldBytes) {
			return `the informational heads have more than ${maxFieldBytes} bytes`;
		}

		return this.now() - this.beganAt > maxTimeMs ? `there are informational heads for more than ${maxTimeMs} ms` : undefined;
	}
}
