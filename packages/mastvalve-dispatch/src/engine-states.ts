/**
 * What the leader knows of each engine: the runs that it was assigned and the prompt parts that it keeps.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import type {EngineCandidate} from './engine-candidate.js';
import {EngineLoad} from './engine-load.js';
import {formatModelKey, PromptCache, type PromptPrefix} from './prompt-cache.js';

/** What decides which engines can serve a claim. */
export type ModelClaim = Pick<DispatchClaim, 'service' | 'model' | 'adapter'>;

/** Lists the engines that hold the model and adapter of a claim and accept requests. */
export type ListHolders = (claim: ModelClaim) => EngineCandidate[];

export type EngineState = {load: EngineLoad; cache: PromptCache};

export class EngineStates {
	private readonly states = new Map<string, EngineState>();
	/** Models and adapters whose prompts some engine may keep. */
	private readonly keptModels = new Map<string, ModelClaim>();

	find(engine: string): EngineState | undefined {
		return this.states.get(engine);
	}

	getOrCreate(engine: string): EngineState {
		const known = this.states.get(engine);
		if (known) {
			return known;
		}

		const state = {load: new EngineLoad(), cache: new PromptCache()};
		this.states.set(engine, state);
		return state;
	}

	listEngines(): string[] {
		return [...this.states.keys()];
	}

	/** Records that an engine was sent a prompt, for whose parts it has `capacity` tokens. */
	recordPrompt(engine: string, claim: ModelClaim, prefixes: readonly PromptPrefix[], capacity: number): void {
		if (prefixes.length > 0) {
			this.keptModels.set(formatModelKey(claim), claim);
			this.getOrCreate(engine).cache.record(prefixes, capacity);
		}
	}

	/** Forgets the prompts that an engine kept for a model, or for one adapter of it. */
	dropModel(engine: string, model: string, adapter?: string): void {
		const dropped = formatModelKey({model, adapter});
		this.states.get(engine)?.cache.dropUnheld(key => (adapter === undefined ? !key.startsWith(dropped) : key !== dropped));
	}

	/** Forgets the prompts of models that engines no longer hold. */
	dropUnheldPrompts(listHolders: ListHolders): void {
		const holders = new Map([...this.keptModels].map(([key, model]) => [key, new Set(listHolders(model).map(({id}) => id))]));
		this.states.forEach(({cache}, id) => {
			cache.dropUnheld(key => holders.get(key)?.has(id) === true);
		});
		[...holders].filter(([, ids]) => ids.size === 0).forEach(([key]) => {
			this.keptModels.delete(key);
		});
	}

	/** Forgets an engine that is gone. */
	dropEngine(engine: string): void {
		this.states.delete(engine);
	}
}
