/**
 * Finds where the events of an event stream end, however the stream is split into chunks.
 *
 * An event ends with an empty line. Lines end with LF, CR or CRLF; a line that starts with a colon is a comment and belongs to no event.
 */

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
/** A byte order mark may precede the first line. */
const byteOrderMark = [0xEF, 0xBB, 0xBF];

export class EventStreamScanner {
	/** Number of events that have ended. */
	events = 0;
	private scannedBytes = 0;
	private isInsideEvent = false;
	private isLineEmpty = true;
	private isAfterReturn = false;
	/** Whether any line has ended with CRLF. */
	private hasSeenPair = false;
	private markLength = 0;

	/** Whether the stream may end here: after an event, a comment or nothing. */
	get isBetweenEvents(): boolean {
		return !this.isInsideEvent && !this.isInsideLineEnd && !this.isInsideMark;
	}

	/** Scans the next chunk; returns the offset in it up to which all events are complete. */
	scan(chunk: Uint8Array): number {
		let boundary = 0;
		chunk.forEach((byte, index) => {
			if (this.scanByte(byte) && !this.isInsideEvent) {
				boundary = index + 1;
			}
		});
		return boundary;
	}

	/** Whether a line end of a stream that uses CRLF lacks its second byte. */
	private get isInsideLineEnd(): boolean {
		return this.isAfterReturn && this.hasSeenPair;
	}

	private get isInsideMark(): boolean {
		return this.markLength === this.scannedBytes && this.markLength > 0 && this.markLength < byteOrderMark.length;
	}

	/** Scans one byte; returns whether it ends a line. */
	private scanByte(byte: number): boolean {
		const isSecondOfPair = this.isAfterReturn && byte === lineFeed;
		this.isAfterReturn = byte === carriageReturn;
		if (this.takeMark(byte)) {
			return false;
		}

		if (isSecondOfPair) {
			this.hasSeenPair = true;
			return true;
		}

		const isLineEnd = byte === lineFeed || byte === carriageReturn;
		if (isLineEnd) {
			this.endLine();
		} else {
			this.isInsideEvent ||= this.isLineEmpty && byte !== colon;
			this.isLineEmpty = false;
		}

		return isLineEnd;
	}

	private endLine(): void {
		if (this.isLineEmpty && this.isInsideEvent) {
			this.isInsideEvent = false;
			this.events += 1;
		}

		this.isLineEmpty = true;
	}

	/** Whether the byte belongs to the byte order mark. */
	private takeMark(byte: number): boolean {
		const isMark = this.markLength === this.scannedBytes && byte === byteOrderMark[this.markLength];
		this.scannedBytes += 1;
		this.markLength += isMark ? 1 : 0;
		return isMark;
	}
}
