/**
 * Bounds the informational heads (100, 102, 103) that an endpoint sends before the head of its answer. Node's client reads any number of them.
 */

/** Most heads of one attempt: endpoints send one or two, and one that tells its progress each second is heard for half a minute. */
const maxHeads = 32;
/** Most bytes of their fields in one attempt: four times what one head may have. */
const maxFieldBytes = 65_536;
/** Time from the beginning of an attempt after which another such head is taken for no progress, ms. */
const maxTimeMs = 30_000;

/** The informational heads of one attempt. */
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
			return `informational heads: more than ${maxHeads} of them`;
		}

		if (this.fieldBytes > maxFieldBytes) {
			return `informational heads: more than ${maxFieldBytes} bytes`;
		}

		return this.now() - this.beganAt > maxTimeMs ? `informational heads for more than ${maxTimeMs} ms` : undefined;
	}
}
