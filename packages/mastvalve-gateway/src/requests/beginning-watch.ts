/**
 * Notices when an answer has gone on after its beginning, at which endpoints crash under some parts of prompts.
 */

/** Complete events after which an answer may be past its beginning. */
const beginningEvents = 3;
/** Time from its first complete event until an answer is past its beginning, ms; engines that crash do so within 0.15 s of the first token. */
const beginningMs = 250;

export class BeginningWatch {
	/** Whether the answer has gone on after its beginning. */
	isOver = false;
	private firstEventAt: number | undefined;

	/** `now` is a monotonic clock, ms. */
	constructor(private readonly now: () => number, private readonly onOver: () => void) {}

	get hasEvents(): boolean {
		return this.firstEventAt !== undefined;
	}

	/** Records the number of complete events so far. */
	recordEvents(events: number): void {
		this.firstEventAt ??= this.now();
		if (!this.isOver && events >= beginningEvents && this.now() - this.firstEventAt >= beginningMs) {
			this.isOver = true;
			this.onOver();
		}
	}
}
