/**
 * Which endpoint gets a request: pure, over what the entry knows at this moment.
 */

import {EndpointPhase, type FleetEndpoint} from 'mastvalve-fleet';
import {AdmissionKind, type Admission} from 'mastvalve-limits';
import type {EndpointObservations} from './endpoint-tracker.js';
import {formatModel} from './model-demand.js';

/** What the choice rests on. */
export type EndpointChoiceInput = {
	endpoints: readonly FleetEndpoint[];
	model: string | undefined;
	adapter: string | undefined;
	/** Failure domain of this entry. */
	failureDomain: string;
	/** Endpoints that this request was sent to already. */
	attemptedIds: ReadonlySet<string>;
	/** When limited endpoints that had no permit for it may be asked again, by endpoint, ms. */
	permitRetryAt: ReadonlyMap<string, number>;
	now: number;
	getObservations: (id: string) => EndpointObservations;
	/** Whether an endpoint has named how many requests it takes. */
	isLimited: (endpoint: FleetEndpoint) => boolean;
	/** A limited endpoint that this entry has had no answer from for about so long is asked before others, ms. */
	limitedProbeMs: number;
	random: () => number;
	/** Time in which an engine without a queue begins an answer with this model, ms. */
	firstByteMs: number;
	/** The part of that for each prompt token, ms. */
	prefillMsPerToken: number;
};

/** What one more running request adds to the wait of the next, as a part of the time to begin an answer: its share of a step. */
const runningRequestShare = 0.03;
/** Bytes between failure domains are dear: another domain must be faster by this, ms. */
const crossDomainPenaltyMs = 25;
/**
 * An endpoint that has named a limit is spared while another one is as near, ms: a permit must be claimed there, and is kept for what
 * nobody else takes in time.
 */
const limitedPenaltyMs = 20;
/** Below any expected wait, ms. */
const probeCostMs = -1;
/**
 * An endpoint with own requests that has sent no byte for this long is doubtful, ms. Streams send several events a
 * second, and the longest reading of a prompt takes less.
 */
const stallThresholdMs = 1200;
/** What the last answers came late by means less and less; ms. */
const startDelayDecayMs = 700;
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
const estimateWait = (knowledge: EndpointObservations, {now, firstByteMs, prefillMsPerToken}: EndpointChoiceInput): number => {
	const {load, loadReportedAt, inFlight, pendingPromptTokens, awaitingFirstByte, startDelayMs, startDelayAt} = knowledge;
	const weight = Math.exp(-(now - loadReportedAt) / loadDecayMs);
	const others = load ? Math.max(0, load.running + load.waiting - inFlight) * weight : 0;
	// What others have sent and was not read yet when the load was told; the own part is known exactly.
	const othersAwaitingFirstByte = load ? Math.max(0, load.waiting - awaitingFirstByte) * weight : 0;
	const startDelay = startDelayMs * Math.exp(-(now - startDelayAt) / startDelayDecayMs);
	return (pendingPromptTokens * prefillMsPerToken) + ((inFlight + others) * firstByteMs * runningRequestShare) + (othersAwaitingFirstByte * firstByteMs) + startDelay;
};

/** Whether an endpoint said itself that it can't take a request for this model, or has ended. */
const isUnavailable = (endpoint: FleetEndpoint, {isReplaced, isLeaving, notListeningUntil, missingModels}: EndpointObservations, name: string, now: number): boolean =>
	isReplaced || isLeaving || now < notListeningUntil || missingModels.get(name) === endpoint.revision;

/** Whether others are to be preferred: it failed lately, sends nothing, or control hears nothing of it and neither does this entry. */
const isSuspect = (endpoint: FleetEndpoint, {suspectUntil, inFlight, lastByteAt, busySince}: EndpointObservations, now: number): boolean => {
	const isStalled = inFlight > 0 && now - Math.max(lastByteAt, busySince) > stallThresholdMs;
	const isHeartbeatMissing = endpoint.phase === EndpointPhase.Silent && now - lastByteAt > stallThresholdMs;
	return now < suspectUntil || isStalled || isHeartbeatMissing;
};

/** Endpoints that could take the request, now or later. */
const listCandidates = ({endpoints, model, adapter, attemptedIds, now, getObservations}: EndpointChoiceInput): FleetEndpoint[] =>
	endpoints.filter(endpoint => !attemptedIds.has(endpoint.id) && holdsModel(endpoint, model, adapter) && !isUnavailable(endpoint, getObservations(endpoint.id), formatModel(model ?? '', adapter), now));

/** The order in which endpoints are asked: sound ones first, and among equals those that may have a permit. */
enum Rank {
	Healthy,
	/** It had no permit for this entry's last request; it may have one for this. */
	HealthyWithoutPermit,
	Suspect,
	SuspectWithoutPermit,
}

const hasPermit = (endpoint: FleetEndpoint, {now, getObservations, isLimited}: EndpointChoiceInput): boolean =>
	now >= getObservations(endpoint.id).permitAt || !isLimited(endpoint);

const rankEndpoint = (endpoint: FleetEndpoint, input: EndpointChoiceInput): Rank => {
	if (isSuspect(endpoint, input.getObservations(endpoint.id), input.now)) {
		return hasPermit(endpoint, input) ? Rank.Suspect : Rank.SuspectWithoutPermit;
	}

	return hasPermit(endpoint, input) ? Rank.Healthy : Rank.HealthyWithoutPermit;
};

/** Only its answers tell that the limit of an endpoint is over, so it is asked now and then although others are as near. */
const isProbeDue = (endpoint: FleetEndpoint, {now, random, getObservations, isLimited, limitedProbeMs}: EndpointChoiceInput): boolean =>
	isLimited(endpoint) && now - getObservations(endpoint.id).lastByteAt > limitedProbeMs * (0.5 + random());

/** What one more request there costs, ms: the time until there is a permit, or the expected wait. */
const estimateCost = (endpoint: FleetEndpoint, input: EndpointChoiceInput): number => {
	if (isProbeDue(endpoint, input)) {
		return probeCostMs;
	}

	const {failureDomain, now, getObservations, isLimited} = input;
	const knowledge = getObservations(endpoint.id);
	const domainMs = endpoint.failureDomain === failureDomain ? 0 : crossDomainPenaltyMs;
	const limitPenaltyMs = isLimited(endpoint) ? limitedPenaltyMs : 0;
	const permitMs = hasPermit(endpoint, input) ? 0 : knowledge.permitAt - now;
	return estimateWait(knowledge, input) + domainMs + limitPenaltyMs + permitMs;
};

/** When an endpoint may be sent the request, or asked whether it may. */
const getAdmission = ({id}: FleetEndpoint, {permitRetryAt, now, getObservations}: EndpointChoiceInput): Admission => {
	const retryAt = permitRetryAt.get(id) ?? Number.NEGATIVE_INFINITY;
	const backoff = getObservations(id).backoff.checkAdmission(now);
	if (backoff.kind === AdmissionKind.At) {
		return {...backoff, at: Math.max(backoff.at, retryAt)};
	}

	return now < retryAt ? {kind: AdmissionKind.At, at: retryAt} : backoff;
};

/** Endpoints that could take the request, and may be asked now. */
const listAvailable = (input: EndpointChoiceInput): FleetEndpoint[] =>
	listCandidates(input).filter(endpoint => getAdmission(endpoint, input).kind === AdmissionKind.Now);

/** Endpoints that may be asked now, the best first. */
const listByPreference = (input: EndpointChoiceInput): Array<{endpoint: FleetEndpoint; rank: Rank}> =>
	listAvailable(input)
		.map(endpoint => ({endpoint, rank: rankEndpoint(endpoint, input), cost: estimateCost(endpoint, input) + input.random()}))
		.toSorted((a, b) => a.rank - b.rank || a.cost - b.cost);

/** Chooses; undefined when no endpoint may get the request now. */
export const chooseEndpoint = (input: EndpointChoiceInput): FleetEndpoint | undefined => listByPreference(input)[0]?.endpoint;

const suspectRanks = new Set([Rank.Suspect, Rank.SuspectWithoutPermit]);

/** Limited endpoints that may be asked for a permit now, the best first; doubtful ones only if there are no others. */
export const listLimitedEndpoints = (input: EndpointChoiceInput): FleetEndpoint[] => {
	const limited = listByPreference(input).filter(({endpoint}) => input.isLimited(endpoint));
	const healthy = limited.filter(({rank}) => !suspectRanks.has(rank));
	return (healthy.length > 0 ? healthy : limited).map(({endpoint}) => endpoint);
};

/** Whether an endpoint without a limit may get the request now. */
export const hasUnlimitedEndpoint = (input: EndpointChoiceInput): boolean => listAvailable(input).some(endpoint => !input.isLimited(endpoint));

/** When one of the endpoints that hold what a request needs may take it, and whether that is likely. */
export type ExpectedCapacity = {admission: Admission; isReliable: boolean};

/** What is expected of each endpoint that could take the request, now or later. */
export const listExpectedCapacity = (input: EndpointChoiceInput): ExpectedCapacity[] =>
	listCandidates(input).map(endpoint => {
		const admission = getAdmission(endpoint, input);
		const {backoff} = input.getObservations(endpoint.id);
		const isBackedOff = backoff.checkAdmission(input.now).kind === AdmissionKind.At;
		return {admission, isReliable: !isBackedOff || backoff.isRecoveryLikely};
	});
