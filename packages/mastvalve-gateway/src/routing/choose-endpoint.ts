/**
 * Which endpoint gets a request: pure, over what the entry knows at this moment.
 */

import {EndpointPhase, type FleetEndpoint} from 'mastvalve-fleet';
import {AdmissionKind, type Admission} from 'mastvalve-limits';
import type {EndpointKnowledge} from './endpoint-board.js';
import {formatModel} from './model-demand.js';

/** What the choice rests on. */
export type EndpointChoiceInput = {
	endpoints: readonly FleetEndpoint[];
	model: string | undefined;
	adapter: string | undefined;
	/** Failure domain of this entry. */
	failureDomain: string;
	/** Endpoints that this request was sent to already. */
	tried: ReadonlySet<string>;
	/** When limited endpoints that had no permit for it may be asked again, by endpoint, ms. */
	askAgainAt: ReadonlyMap<string, number>;
	now: number;
	knowledgeOf: (id: string) => EndpointKnowledge;
	/** Whether an endpoint has named how many requests it takes. */
	isLimited: (endpoint: FleetEndpoint) => boolean;
	/** A limited endpoint that this entry has had no answer from for about so long is asked before others, ms. */
	limitedProbeMs: number;
	random: () => number;
	/** Time in which an engine without a queue begins an answer with this model, ms. */
	headMs: number;
	/** The part of that for each prompt token, ms. */
	msPerToken: number;
};

/** What one more running request adds to the wait of the next, as a part of the time to begin an answer: its share of a step. */
const runningShare = 0.03;
/** Bytes between failure domains are dear: another domain must be faster by this, ms. */
const otherDomainMs = 25;
/**
 * An endpoint that has named a limit is spared while another one is as near, ms: a permit must be claimed there, and is kept for what
 * nobody else takes in time.
 */
const limitedMs = 20;
/** Below any expected wait, ms. */
const probeCostMs = -1;
/**
 * An endpoint with own requests that has sent no byte for this long is doubtful, ms. Streams send several events a
 * second, and the longest reading of a prompt takes less.
 */
const silentMs = 1200;
/** What the last answers came late by means less and less; ms. */
const delayDecayMs = 700;
/** A told load means less and less; ms. */
const loadDecayMs = 700;

/** Whether an endpoint holds a model, with an adapter if one is asked for, and will go on holding it. */
export const holdsModel = (endpoint: FleetEndpoint, model: string | undefined, adapter: string | undefined): boolean => {
	if (model === undefined) {
		return true;
	}

	const held = endpoint.holds.find(candidate => candidate.name === model);
	return held !== undefined && endpoint.retiring !== model && (adapter === undefined || held.adapters.includes(adapter));
};

/** Expected wait at an endpoint, ms. */
const estimateWait = (knowledge: EndpointKnowledge, {now, headMs, msPerToken}: EndpointChoiceInput): number => {
	const {load, loadAt, inFlight, unreadTokens, unread, delay, delayAt} = knowledge;
	const weight = Math.exp(-(now - loadAt) / loadDecayMs);
	const others = load ? Math.max(0, load.running + load.waiting - inFlight) * weight : 0;
	// What others have sent and was not read yet when the load was told; the own part is known exactly.
	const othersUnread = load ? Math.max(0, load.waiting - unread) * weight : 0;
	const lateness = delay * Math.exp(-(now - delayAt) / delayDecayMs);
	return (unreadTokens * msPerToken) + ((inFlight + others) * headMs * runningShare) + (othersUnread * headMs) + lateness;
};

/** Whether an endpoint said itself that it can't take a request for this model, or has ended. */
const hasDeclined = (endpoint: FleetEndpoint, {isReplaced, isLeaving, absentUntil, lacks}: EndpointKnowledge, name: string, now: number): boolean =>
	isReplaced || isLeaving || now < absentUntil || lacks.get(name) === endpoint.revision;

/** Whether others are to be preferred: it failed lately, sends nothing, or control hears nothing of it and neither does this entry. */
const isDoubtful = (endpoint: FleetEndpoint, {suspectUntil, inFlight, heardAt, busySince}: EndpointKnowledge, now: number): boolean => {
	const isMute = inFlight > 0 && now - Math.max(heardAt, busySince) > silentMs;
	const isSilent = endpoint.phase === EndpointPhase.Silent && now - heardAt > silentMs;
	return now < suspectUntil || isMute || isSilent;
};

/** Endpoints that could take the request, now or later. */
const listHolders = ({endpoints, model, adapter, tried, now, knowledgeOf}: EndpointChoiceInput): FleetEndpoint[] =>
	endpoints.filter(endpoint => !tried.has(endpoint.id) && holdsModel(endpoint, model, adapter) && !hasDeclined(endpoint, knowledgeOf(endpoint.id), formatModel(model ?? '', adapter), now));

/** The order in which endpoints are asked: sound ones first, and among equals those that may have a permit. */
enum Rank {
	Sound,
	/** It had no permit for this entry's last request; it may have one for this. */
	SoundWithoutPermit,
	Doubtful,
	DoubtfulWithoutPermit,
}

const hasPermit = (endpoint: FleetEndpoint, {now, knowledgeOf, isLimited}: EndpointChoiceInput): boolean =>
	now >= knowledgeOf(endpoint.id).permitAt || !isLimited(endpoint);

const rankEndpoint = (endpoint: FleetEndpoint, input: EndpointChoiceInput): Rank => {
	if (isDoubtful(endpoint, input.knowledgeOf(endpoint.id), input.now)) {
		return hasPermit(endpoint, input) ? Rank.Doubtful : Rank.DoubtfulWithoutPermit;
	}

	return hasPermit(endpoint, input) ? Rank.Sound : Rank.SoundWithoutPermit;
};

/** Only its answers tell that the limit of an endpoint is over, so it is asked now and then although others are as near. */
const isProbeDue = (endpoint: FleetEndpoint, {now, random, knowledgeOf, isLimited, limitedProbeMs}: EndpointChoiceInput): boolean =>
	isLimited(endpoint) && now - knowledgeOf(endpoint.id).heardAt > limitedProbeMs * (0.5 + random());

/** What one more request there costs, ms: the time until there is a permit, or the expected wait. */
const estimateCost = (endpoint: FleetEndpoint, input: EndpointChoiceInput): number => {
	if (isProbeDue(endpoint, input)) {
		return probeCostMs;
	}

	const {failureDomain, now, knowledgeOf, isLimited} = input;
	const knowledge = knowledgeOf(endpoint.id);
	const domainMs = endpoint.failureDomain === failureDomain ? 0 : otherDomainMs;
	const spareMs = isLimited(endpoint) ? limitedMs : 0;
	const permitMs = hasPermit(endpoint, input) ? 0 : knowledge.permitAt - now;
	return estimateWait(knowledge, input) + domainMs + spareMs + permitMs;
};

/** When an endpoint may be sent the request, or asked whether it may. */
const judgeEndpoint = ({id}: FleetEndpoint, {askAgainAt, now, knowledgeOf}: EndpointChoiceInput): Admission => {
	const askAt = askAgainAt.get(id) ?? Number.NEGATIVE_INFINITY;
	const backoff = knowledgeOf(id).backoff.checkAdmission(now);
	if (backoff.kind === AdmissionKind.At) {
		return {...backoff, at: Math.max(backoff.at, askAt)};
	}

	return now < askAt ? {kind: AdmissionKind.At, at: askAt} : backoff;
};

/** Endpoints that could take the request, and may be asked now. */
const listAskable = (input: EndpointChoiceInput): FleetEndpoint[] =>
	listHolders(input).filter(endpoint => judgeEndpoint(endpoint, input).kind === AdmissionKind.Now);

/** Endpoints that may be asked now, the best first. */
const listByPreference = (input: EndpointChoiceInput): Array<{endpoint: FleetEndpoint; rank: Rank}> =>
	listAskable(input)
		.map(endpoint => ({endpoint, rank: rankEndpoint(endpoint, input), cost: estimateCost(endpoint, input) + input.random()}))
		.toSorted((a, b) => a.rank - b.rank || a.cost - b.cost);

/** Chooses; undefined when no endpoint may get the request now. */
export const chooseEndpoint = (input: EndpointChoiceInput): FleetEndpoint | undefined => listByPreference(input)[0]?.endpoint;

const doubtfulRanks = new Set([Rank.Doubtful, Rank.DoubtfulWithoutPermit]);

/** Limited endpoints that may be asked for a permit now, the best first; doubtful ones only if there are no others. */
export const listLimited = (input: EndpointChoiceInput): FleetEndpoint[] => {
	const limited = listByPreference(input).filter(({endpoint}) => input.isLimited(endpoint));
	const sound = limited.filter(({rank}) => !doubtfulRanks.has(rank));
	return (sound.length > 0 ? sound : limited).map(({endpoint}) => endpoint);
};

/** Whether an endpoint without a limit may get the request now. */
export const hasUnlimited = (input: EndpointChoiceInput): boolean => listAskable(input).some(endpoint => !input.isLimited(endpoint));

/** When one of the endpoints that hold what a request needs may take it, and whether that is likely. */
export type ExpectedCapacity = {admission: Admission; isReliable: boolean};

/** What is expected of each endpoint that could take the request, now or later. */
export const listExpectedCapacity = (input: EndpointChoiceInput): ExpectedCapacity[] =>
	listHolders(input).map(endpoint => {
		const admission = judgeEndpoint(endpoint, input);
		const {backoff} = input.knowledgeOf(endpoint.id);
		const isBackedOff = backoff.checkAdmission(input.now).kind === AdmissionKind.At;
		return {admission, isReliable: !isBackedOff || backoff.isRecoveryLikely};
	});
