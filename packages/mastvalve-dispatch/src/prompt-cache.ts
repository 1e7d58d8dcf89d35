/**
 * Estimates which prompt parts an engine keeps, from the prompts that it was sent.
 *
 * An engine reuses a part only together with all parts before it, and for the same model and adapter, so parts are known by the
 * whole prefix that they end. The least recently used parts are evicted once the engine's capacity is exceeded, as the engine does.
 */

import type {DispatchClaim} from './dispatch-claim.js';

/** A prefix of a prompt, the model and adapter that it is for, and the tokens that its last part adds. */
export type PromptPrefix = {key: string; modelKey: string; tokens: number};

/** Names a model with its adapter; neither contains a line feed. */
export const formatModelKey = ({model, adapter}: Pick<DispatchClaim, 'model' | 'adapter'>): string => `${model}\n${adapter ?? ''}`;

/** Lists the prefixes of a claim's prompt, shortest first. */
export const listPrefixes = (claim: Pick<DispatchClaim, 'model' | 'adapter' | 'promptParts'>): PromptPrefix[] => {
	const modelKey = formatModelKey(claim);
	let key = modelKey;
	return claim.promptParts.map(({id, tokens}) => {
		key = `${key}\n${id}`;
		return {key, modelKey, tokens};
	});
};

/** A prefix that an engine was sent. One that was never read has nothing to copy. */
type KeptPrefix = {prefix: PromptPrefix; isRead: boolean};

const sumTokens = (prefixes: readonly PromptPrefix[]): number => prefixes.reduce((sum, {tokens}) => sum + tokens, 0);

export class PromptCache {
	/** Prefixes by key, least recently used first. */
	private readonly prefixes = new Map<string, KeptPrefix>();
	private size = 0;

	/** Returns the tokens at the start of a prompt that the engine need not read again. */
	countCachedTokens(prompt: readonly PromptPrefix[]): number {
		const missing = prompt.findIndex(({key}) => !this.prefixes.has(key));
		return sumTokens(missing === -1 ? prompt : prompt.slice(0, missing));
	}

	/** Returns the tokens at the start of a prompt that the engine has read and others can copy. */
	countReadTokens(prompt: readonly PromptPrefix[]): number {
		const unread = prompt.findIndex(({key}) => this.prefixes.get(key)?.isRead !== true);
		return sumTokens(unread === -1 ? prompt : prompt.slice(0, unread));
	}

	/** Records that the engine reads a prompt, and evicts what no longer fits into `capacity` tokens. */
	record(prompt: readonly PromptPrefix[], capacity: number): void {
		prompt.forEach(prefix => {
			const isRead = this.prefixes.get(prefix.key)?.isRead ?? false;
			this.delete(prefix.key);
			this.prefixes.set(prefix.key, {prefix, isRead});
			this.size += prefix.tokens;
		});
		// A loop, since an array of all prefixes for each claim would take most of its time.
		for (const key of this.prefixes.keys()) {
			if (this.size <= capacity) {
				break;
			}

			this.delete(key);
		}
	}

	/** Records that the engine has read a prompt. Parts that were evicted meanwhile stay so. */
	markRead(prompt: readonly PromptPrefix[]): void {
		this.setRead(prompt, true);
	}

	/** Records that the engine seems to lack these parts, since a copy from it brought too little. */
	markUnread(prompt: readonly PromptPrefix[]): void {
		this.setRead(prompt, false);
	}

	/** Forgets the prompts of models that the engine no longer holds. */
	dropUnheld(isHeld: (modelKey: string) => boolean): void {
		[...this.prefixes.values()].filter(({prefix}) => !isHeld(prefix.modelKey)).forEach(({prefix}) => {
			this.delete(prefix.key);
		});
	}

	private delete(key: string): void {
		this.size -= this.prefixes.get(key)?.prefix.tokens ?? 0;
		this.prefixes.delete(key);
	}

	private setRead(prompt: readonly PromptPrefix[], isRead: boolean): void {
		prompt.forEach(({key}) => {
			const kept = this.prefixes.get(key);
			if (kept) {
				kept.isRead = isRead;
			}
		});
	}
}
