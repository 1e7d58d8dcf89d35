/**
 * Selects the endpoint for a request. Pure functions over the entry's current observations.
 */

import {EndpointPhase, holdsModel, type FleetEndpoint} from 'mastvalve-fleet';
import {AdmissionKind, type Admission} from 'mastvalve-limits';
import type {EndpointObservations} from './endpoint-tracker.js';
import {formatModel} from './model-demand.js';

/** Input of the selection. */
export type EndpointChoiceInput = {
	endpoints: readonly FleetEndpoint[];
	model: string | undefined;
	adapter: string | undefined;
	/** Failure domain of this entry. */
	failureDomain: string;
	/** Endpoints to which this request was already sent. */
	attemptedIds: ReadonlySet<string>;
	/** When a permit may be requested again from limited endpoints that had none for this request, by endpoint, ms. */
	permitRetryAt: ReadonlyMap<string, number>;
	now: number;
	getObservations: (id: string) => EndpointObservations;
	/** Whether an endpoint has announced a rate limit. */
	isLimited: (endpoint: FleetEndpoint) => boolean;
	/** A limited endpoint is probed before others after about this time without a response to this entry, ms. */
	limitedProbeMs: number;
	random: () => number;
	/** Time to first byte for this model at an engine without a queue, ms. */
	firstByteMs: number;
	/** Share of that time per prompt token, ms. */
	prefillMsPerToken: number;
};

/** Wait added by each running request, as a fraction of the time to first byte: its share of a decoding step. */
const runningRequestShare = 0.03;
/** Traffic between failure domains is expensive: an endpoint in another domain must be faster by this, ms. */
const crossDomainPenaltyMs = 25;
/**
 * Penalty of endpoints with an announced limit, ms: they need a permit, and their permits are reserved for requests that no other
 * endpoint accepts in time.
 */
const limitedPenaltyMs = 20;
/** Cost of an endpoint that is due for a probe, ms: below any expected wait. */
const probeCostMs = -1;
/**
 * An endpoint with requests of this entry in flight is suspect after this time without a byte, ms. Streams send several events per
 * second, and the longest prefill takes less.
 */
const stallThresholdMs = 1200;
/** Decay time constant of the observed start delay, ms. */
const startDelayDecayMs = 700;
/** Decay time constant of a reported load, ms. */
const loadDecayMs = 700;

/** Expected wait at an endpoint, ms. */
const estimateWait = (observations: EndpointObservations, {now, firstByteMs, prefillMsPerToken}: EndpointChoiceInput): number => {
	const {load, loadReportedAt, inFlight, pendingPromptTokens, awaitingFirstByte, startDelayMs, startDelayAt} = observations;
	const weight = Math.exp(-(now - loadReportedAt) / loadDecayMs);
	const others = load ? Math.max(0, load.running + load.waiting - inFlight) * weight : 0;
	// Requests of other entries without a first byte when the load was reported; those of this entry are known exactly.
	const othersAwaitingFirstByte = load ? Math.max(0, load.waiting - awaitingFirstByte) * weight : 0;
	const startDelay = startDelayMs * Math.exp(-(now - startDelayAt) / startDelayDecayMs);
	return (pendingPromptTokens * prefillMsPerToken) + ((inFlight + others) * firstByteMs * runningRequestShare) + (othersAwaitingFirstByte * firstByteMs) + startDelay;
};

/** Whether an endpoint has announced that it can't accept a request for this model, or has ended. */
export const isUnavailable = (endpoint: FleetEndpoint, {isReplaced, isLeaving, notListeningUntil, missingModels}: EndpointObservations, name: string, now: number): boolean =>
	isReplaced || isLeaving || now < notListeningUntil || missingModels.get(name) === endpoint.revision;

/** Whether others are preferred: it failed recently, is stalled, or neither control nor this entry has received anything from it. */
const isSuspect = (endpoint: FleetEndpoint, {suspectUntil, inFlight, lastByteAt, busySince}: EndpointObservations, now: number): boolean => {
	const isStalled = inFlight > 0 && now - Math.max(lastByteAt, busySince) > stallThresholdMs;
	const isHeartbeatMissing = endpoint.phase === EndpointPhase.Silent && now - lastByteAt > stallThresholdMs;
	return now < suspectUntil || isStalled || isHeartbeatMissing;
};

/** Returns the endpoints that could accept the request, now or later. */
const listCandidates = ({endpoints, model, adapter, attemptedIds, now, getObservations}: EndpointChoiceInput): FleetEndpoint[] =>
	endpoints.filter(endpoint => !attemptedIds.has(endpoint.id) && holdsModel(endpoint, model, adapter) && !isUnavailable(endpoint, getObservations(endpoint.id), formatModel(model ?? '', adapter), now));

/** Order of preference: healthy endpoints first, and among equals those that may have a permit. */
enum Rank {
	Healthy,
	/** Had no permit for this entry's last request, but may have one for this one. */
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

/** Only an endpoint's own responses show that its limit is lifted, so limited endpoints are probed at intervals although others cost less. */
const isProbeDue = (endpoint: FleetEndpoint, {now, random, getObservations, isLimited, limitedProbeMs}: EndpointChoiceInput): boolean =>
	isLimited(endpoint) && now - getObservations(endpoint.id).lastByteAt > limitedProbeMs * (0.5 + random());

/** Returns the cost of one more request, ms: the expected wait plus penalties and the time until a permit. */
const estimateCost = (endpoint: FleetEndpoint, input: EndpointChoiceInput): number => {
	if (isProbeDue(endpoint, input)) {
		return probeCostMs;
	}

	const {failureDomain, now, getObservations, isLimited} = input;
	const observations = getObservations(endpoint.id);
	const domainMs = endpoint.failureDomain === failureDomain ? 0 : crossDomainPenaltyMs;
	const limitPenaltyMs = isLimited(endpoint) ? limitedPenaltyMs : 0;
	const permitMs = hasPermit(endpoint, input) ? 0 : observations.permitAt - now;
	return estimateWait(observations, input) + domainMs + limitPenaltyMs + permitMs;
};

/** Returns when the request may be sent to an endpoint, or a permit for it requested. */
const getAdmission = ({id}: FleetEndpoint, {permitRetryAt, now, getObservations}: EndpointChoiceInput): Admission => {
	const retryAt = permitRetryAt.get(id) ?? Number.NEGATIVE_INFINITY;
	const backoff = getObservations(id).backoff.checkAdmission(now);
	if (backoff.kind === AdmissionKind.At) {
		return {...backoff, at: Math.max(backoff.at, retryAt)};
	}

	return now < retryAt ? {kind: AdmissionKind.At, at: retryAt} : backoff;
};

/** Returns the candidates that admit the request now. */
const listAvailable = (input: EndpointChoiceInput): FleetEndpoint[] =>
	listCandidates(input).filter(endpoint => getAdmission(endpoint, input).kind === AdmissionKind.Now);

/** Returns the available endpoints, best first. */
const listByPreference = (input: EndpointChoiceInput): Array<{endpoint: FleetEndpoint; rank: Rank}> =>
	listAvailable(input)
		.map(endpoint => ({endpoint, rank: rankEndpoint(endpoint, input), cost: estimateCost(endpoint, input) + input.random()}))
		.toSorted((a, b) => a.rank - b.rank || a.cost - b.cost);

/** Returns the best endpoint; undefined when none admits the request now. */
export const chooseEndpoint = (input: EndpointChoiceInput): FleetEndpoint | undefined => listByPreference(input)[0]?.endpoint;

const suspectRanks = new Set([Rank.Suspect, Rank.SuspectWithoutPermit]);

/** Returns the limited endpoints from which a permit may be requested now, best first; suspect ones only if no others are left. */
export const listLimitedEndpoints = (input: EndpointChoiceInput): FleetEndpoint[] => {
	const limited = listByPreference(input).filter(({endpoint}) => input.isLimited(endpoint));
	const healthy = limited.filter(({rank}) => !suspectRanks.has(rank));
	return (healthy.length > 0 ? healthy : limited).map(({endpoint}) => endpoint);
};

/** Whether an endpoint without a limit admits the request now. */
export const hasUnlimitedEndpoint = (input: EndpointChoiceInput): boolean => listAvailable(input).some(endpoint => !input.isLimited(endpoint));

/** When a candidate may accept the request, and whether it is likely to. */
export type ExpectedCapacity = {admission: Admission; isReliable: boolean};

/** Returns the expected capacity of each candidate. */
export const listExpectedCapacity = (input: EndpointChoiceInput): ExpectedCapacity[] =>
	listCandidates(input).map(endpoint => {
		const admission = getAdmission(endpoint, input);
		const {backoff} = input.getObservations(endpoint.id);
		const isBackedOff = backoff.checkAdmission(input.now).kind === AdmissionKind.At;
		return {admission, isReliable: !isBackedOff || backoff.isRecoveryLikely};
	});
