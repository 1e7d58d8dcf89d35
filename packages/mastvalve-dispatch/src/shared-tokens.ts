/**
 * Tokens of the prompt parts that runs in progress share, each part counted once.
 */

import type {PromptPrefix} from './prompt-cache.js';

export class SharedTokens {
	private readonly uses = new Map<string, number>();
	private tokenCount = 0;

	get size(): number {
		return this.tokenCount;
	}

	add(prompt: readonly PromptPrefix[]): void {
		prompt.forEach(({key, tokens}) => {
			const uses = this.uses.get(key) ?? 0;
			this.uses.set(key, uses + 1);
			this.tokenCount += uses === 0 ? tokens : 0;
		});
	}

	remove(prompt: readonly PromptPrefix[]): void {
		prompt.forEach(({key, tokens}) => {
			const uses = (this.uses.get(key) ?? 0) - 1;
			if (uses > 0) {
				this.uses.set(key, uses);
			} else {
				this.uses.delete(key);
				this.tokenCount -= tokens;
			}
		});
	}
}
