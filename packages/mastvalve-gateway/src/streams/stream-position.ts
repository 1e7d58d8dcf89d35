/**
 * Position of a caller in a resumable stream: the id of the last event that was passed on, and the bytes of the next one that are held back
 * until it is complete.
 */

import {Buffer} from 'node:buffer';

/** Longest incomplete event that is held back, bytes. A stream with a longer one can't be resumed. */
const maxEventBytes = 131_072;
const idPattern = /^id: ?(?<id>.*)$/gmv;

export class StreamPosition {
	lastEventId: string | undefined;
	/** Whether the caller may have got part of an event, so that the stream can't be resumed. */
	isLost = false;
	private partialEvent = Buffer.alloc(0);

	/** Bytes held back. */
	get heldBytes(): number {
		return this.partialEvent.length;
	}

	/** Takes a chunk whose events are complete up to the offset `boundary`; returns the bytes to pass on, and holds back the others. */
	take(chunk: Uint8Array, boundary: number): Uint8Array {
		if (this.isLost) {
			return chunk;
		}

		const rest = chunk.subarray(boundary);
		if (boundary === 0) {
			return this.holdBack(rest);
		}

		const complete = this.heldBytes === 0 ? chunk.subarray(0, boundary) : Buffer.concat([this.partialEvent, chunk.subarray(0, boundary)]);
		this.partialEvent = Buffer.alloc(0);
		this.lastEventId = [...Buffer.from(complete.buffer, complete.byteOffset, complete.length).toString('latin1').matchAll(idPattern)].at(-1)?.groups?.id?.trim() ?? this.lastEventId;
		const overflow = this.holdBack(rest);
		return overflow.length === 0 ? complete : Buffer.concat([complete, overflow]);
	}

	/** Returns what is held back, and holds nothing any more. */
	takeRemainder(): Uint8Array {
		const remainder = this.partialEvent;
		this.partialEvent = Buffer.alloc(0);
		return remainder;
	}

	/** Records that bytes without known events are passed on. */
	lose(): void {
		this.isLost = true;
	}

	/** Holds bytes back; returns all that is held when that is too much. */
	private holdBack(bytes: Uint8Array): Uint8Array {
		this.partialEvent = this.heldBytes === 0 ? Buffer.from(bytes) : Buffer.concat([this.partialEvent, bytes]);
		if (this.heldBytes <= maxEventBytes) {
			return this.partialEvent.subarray(0, 0);
		}

		this.isLost = true;
		return this.takeRemainder();
	}
}
