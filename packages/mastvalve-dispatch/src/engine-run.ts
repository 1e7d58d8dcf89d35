/**
 * A request that was assigned to an engine and has not ended.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import type {PromptPrefix} from './prompt-cache.js';
import type {PromptCopy} from './prompt-copy.js';

/** Times are monotonic, ms. */
export type EngineRun = {
	claim: DispatchClaim;
	/** Entry that sent it. */
	entry: string;
	engine: string;
	/** Shared prefixes of its prompt, which the engine keeps once for all runs. */
	prefixes: readonly PromptPrefix[];
	/** Prompt tokens that the engine has to read, after the copy if there is one. */
	uncachedTokens: number;
	/** What the engine copies from another one before. */
	copy?: PromptCopy;
	assignedAt: number;
	/** When its first byte arrived; undefined while its prompt is queued or read. */
	beganAt: number | undefined;
	/** Time after which it can't be in progress any more. */
	expiresAt: number;
};
