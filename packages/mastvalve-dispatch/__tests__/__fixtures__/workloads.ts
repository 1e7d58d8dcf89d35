/**
 * Requests of two customers with hard load, and the engines that serve them.
 */

import {createRandom, pickBelow, type Random} from 'mastvalve-utils';
import type {DispatchClaim} from '../../src/index.js';
import type {EngineShape} from './replayed-engine.js';
import {ReplayedRun} from './replayed-run.js';

const msPerSecond = 1000;
const longModelHolders = 14;
const chatModels = 12;
const maxPromptTokens = 39_000;
/** Each of the second parts follows one of the first. */
const sharedParts = [{count: 3, tokens: 2000}, {count: 103, tokens: 4300}];
const meanOwnTokens = 2900;
const longPerSecond = 50;
const chatsPerSecond = 57;

/** 29 engines: half of them slow; every engine holds two models of chats, and 14 also the model of long prompts. */
export const createFleet = (): EngineShape[] => Array.from({length: 29}, (_, index) => ({
	id: `engine-${index}`,
	speed: index % 2 === 0 ? 0.55 : 1.2,
	models: [...new Set([`chat-${index % chatModels}`, `chat-${((index * 5) + 3) % chatModels}`]), ...(index < longModelHolders ? ['long'] : [])],
	slots: 32,
	tokenCapacity: 167_000,
}));

export const createClaim = (claim: Pick<DispatchClaim, 'id' | 'model'> & Partial<DispatchClaim>): DispatchClaim => ({
	service: 'models', promptTokens: 800, promptParts: [], outputTokens: 290, urgency: 0, objectiveMs: 600, targetMs: 600, remainingMs: 10_000, pauseMs: 600, excluded: [], ...claim,
});

const createChat = (id: string, random: Random): DispatchClaim =>
	// The square makes requests for the first models the most frequent.
	createClaim({id, model: `chat-${Math.floor((random() ** 1.5) * chatModels)}`});

const createLong = (id: string, random: Random): DispatchClaim => {
	const choice = pickBelow(random, sharedParts[1]!.count);
	const promptParts = sharedParts.map(({count, tokens}, place) => ({id: `part-${place}-${choice % count}`, tokens}));
	const shared = promptParts.reduce((sum, {tokens}) => sum + tokens, 0);
	return createClaim({
		id, model: 'long', promptParts, promptTokens: Math.round(Math.min(maxPromptTokens, shared - (Math.log(1 - random()) * meanOwnTokens))),
		outputTokens: 50, urgency: 1, objectiveMs: 1000, targetMs: 1000, pauseMs: undefined,
	});
};

/** Requests of one kind. */
export type Stream = {kind: string; perSecond: number; seconds: number};

/** Poisson arrivals of one kind. */
export const createArrivals = ({kind, perSecond, seconds}: Stream, random: Random, create: (id: string) => DispatchClaim): ReplayedRun[] => {
	const arrivals: ReplayedRun[] = [];
	let at = 0;
	while (at < seconds * msPerSecond) {
		at -= Math.log(1 - random()) * msPerSecond / perSecond;
		arrivals.push(new ReplayedRun(kind, at, create(`${kind}-${arrivals.length}`)));
	}

	return arrivals;
};

/** Long prompts beside chats at `factor` times the rates of both. */
export const createMixedLoad = (factor: number, seconds: number, seed: number): ReplayedRun[] => {
	const random = createRandom(seed);
	return [
		...createArrivals({kind: 'long', perSecond: longPerSecond * factor, seconds}, random, id => createLong(id, random)),
		...createArrivals({kind: 'chat', perSecond: chatsPerSecond * factor, seconds}, random, id => createChat(id, random)),
	].toSorted((a, b) => a.arrivedAt - b.arrivedAt);
};
