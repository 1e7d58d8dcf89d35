/**
 * Watches whether the caller of one request reads its answer.
 */

import type {UnreadAnswer, UnreadAnswers} from './unread-answers.js';

/** Time without reading after which a caller is a slow reader, ms; endpoints cut off answers that are unread for some seconds. */
export const slowReaderMs = 1000;
/** Time after which the bytes that its endpoint had on their way have arrived, ms. They count against the bound too. */
const arrivalMs = 50;

export type AnswerReaderOptions = UnreadAnswer & {
	unread: UnreadAnswers;
	/** Called once, when the caller has not read for `slowReaderMs`. */
	onSlow: () => void;
};

export class AnswerReader {
	/** Whether the caller has been a slow reader of this answer. */
	hasBeenSlow = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: AnswerReaderOptions) {}

	/** Records that the caller's connection accepts no more bytes. */
	stop(): void {
		clearTimeout(this.timer);
		this.timer = setTimeout(() => {
			this.timer = setTimeout(() => {
				this.recordSlow();
			}, slowReaderMs - arrivalMs);
			this.options.unread.enforce();
		}, arrivalMs);
		this.options.unread.add(this.options);
	}

	/** Records that the caller reads again, or that the answer has ended. */
	resume(): void {
		clearTimeout(this.timer);
		this.options.unread.remove(this.options);
	}

	private recordSlow(): void {
		if (!this.hasBeenSlow) {
			this.hasBeenSlow = true;
			this.options.onSlow();
		}

		this.options.unread.enforce();
	}
}
