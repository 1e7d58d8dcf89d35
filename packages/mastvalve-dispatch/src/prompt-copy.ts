/**
 * A copy of kept prompt parts from one engine to another.
 *
 * An engine that is given a source first pulls the parts that only the source keeps, and then reads only the rest of the prompt.
 */

/** A copy that an engine makes before it reads a prompt. */
export type PromptCopy = {
	/** Engine that keeps the parts. */
	source: string;
	/** Tokens that it keeps of the prompt past those of the engine that pulls. */
	tokens: number;
	/** Tokens that the copy is expected to bring, by what earlier ones have brought. */
	expectedTokens: number;
	/** Time for which it occupies the links of both engines, ms. */
	linkMs: number;
	/** Time until it has ended, with the copies that go before it on both links, ms. */
	readyMs: number;
};
