/**
 * Answers that their callers do not read at the moment. Bounds the sum of the bytes that the entry holds for them: beyond the bound, the
 * answer that has been unread for longest is cut off.
 */

export type UnreadAnswer = {
	/** Bytes that the entry holds of it now. */
	readHeldBytes: () => number;
	/** Ends the answer before it is complete. */
	cutOff: () => void;
};

export class UnreadAnswers {
	/** The answer that has been unread for longest comes first. */
	private readonly answers = new Set<UnreadAnswer>();

	constructor(private readonly maxBytes: number) {}

	/** Bytes held now. */
	get bytes(): number {
		return [...this.answers].reduce((sum, answer) => sum + answer.readHeldBytes(), 0);
	}

	/** Records that the caller has stopped reading an answer. */
	add(answer: UnreadAnswer): void {
		this.answers.add(answer);
		this.enforce();
	}

	/** Records that the caller reads an answer again, or that the answer has ended. */
	remove(answer: UnreadAnswer): void {
		this.answers.delete(answer);
	}

	/** Cuts off answers until the others are within the bound. */
	enforce(): void {
		while (this.bytes > this.maxBytes) {
			const [longest] = this.answers;
			if (!longest) {
				return;
			}

			this.answers.delete(longest);
			longest.cutOff();
		}
	}
}
