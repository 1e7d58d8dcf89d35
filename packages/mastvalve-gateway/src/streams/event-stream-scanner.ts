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

/** Returns the offset of the next line end, or the length of the chunk. */
const findLineEnd = (chunk: Uint8Array, from: number): number => {
	let offset = from;
	while (offset < chunk.length && chunk[offset] !== lineFeed && chunk[offset] !== carriageReturn) {
		offset += 1;
	}

	return offset;
};

export class EventStreamScanner {
	/** Number of events that have ended. */
	events = 0;
	private isInsideEvent = false;
	private isLineEmpty = true;
	private isAfterReturn = false;
	/** Whether any line has ended with CRLF. */
	private hasSeenPair = false;
	/** Whether nothing but the byte order mark has been scanned. */
	private isAtStart = true;
	private markLength = 0;

	/** Whether the stream may end here: after an event, a comment or nothing. */
	get isBetweenEvents(): boolean {
		const isInsideLineEnd = this.isAfterReturn && this.hasSeenPair;
		const isInsideMark = this.isAtStart && this.markLength > 0 && this.markLength < byteOrderMark.length;
		return !this.isInsideEvent && !isInsideLineEnd && !isInsideMark;
	}

	/** Scans the next chunk; returns the offset in it up to which all events are complete. */
	scan(chunk: Uint8Array): number {
		let boundary = 0;
		let offset = this.skipMark(chunk);
		while (offset < chunk.length) {
			offset = this.scanLine(chunk, offset);
			boundary = this.isLineEmpty && !this.isInsideEvent ? offset : boundary;
		}

		return boundary;
	}

	/** Scans up to the end of a line or of the chunk; returns the offset behind it. */
	private scanLine(chunk: Uint8Array, start: number): number {
		const isSecondOfPair = this.isAfterReturn && chunk[start] === lineFeed;
		this.isAfterReturn = false;
		if (isSecondOfPair) {
			this.hasSeenPair = true;
			return start + 1;
		}

		const end = findLineEnd(chunk, start);
		if (this.isLineEmpty && end > start) {
			this.isLineEmpty = false;
			this.isInsideEvent ||= chunk[start] !== colon;
		}

		if (end === chunk.length) {
			return end;
		}

		this.endLine();
		this.isAfterReturn = chunk[end] === carriageReturn;
		return end + 1;
	}

	private endLine(): void {
		if (this.isLineEmpty && this.isInsideEvent) {
			this.isInsideEvent = false;
			this.events += 1;
		}

		this.isLineEmpty = true;
	}

	/** Returns the offset behind a byte order mark at the start of the stream. */
	private skipMark(chunk: Uint8Array): number {
		let offset = 0;
		while (this.isAtStart && offset < chunk.length) {
			this.isAtStart = this.markLength < byteOrderMark.length && chunk[offset] === byteOrderMark[this.markLength];
			this.markLength += this.isAtStart ? 1 : 0;
			offset += this.isAtStart ? 1 : 0;
		}

		return offset;
	}
}
