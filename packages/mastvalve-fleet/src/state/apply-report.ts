/**
 * Applies heartbeats and completed orders to an endpoint. Pure functions.
 */

import type {Holdings} from './fleet-command.js';
import {
	EndpointPhase, type EndpointReport, type FleetEndpoint, type HeldModel,
} from './fleet-endpoint.js';

const nextPhase = (known: FleetEndpoint | undefined, report: EndpointReport): EndpointPhase => {
	const isLeaving = report.isLeaving || known?.phase === EndpointPhase.Leaving;
	return isLeaving ? EndpointPhase.Leaving : EndpointPhase.Ready;
};

/**
 * Returns the models that the heartbeat reports, with the recorded adapters: endpoints send no heartbeat when adapters
 * change, and only orders of control change them.
 */
const keepAdapters = (known: FleetEndpoint | undefined, report: EndpointReport): HeldModel[] =>
	report.holds.map(held => known?.holds.find(({name}) => name === held.name) ?? held);

/**
 * Applies a heartbeat; an out-of-order one, or one of an endpoint that is gone, changes nothing. `former` is the previous
 * incarnation of a new one, whose pending orders may still reach it, since orders name the endpoint and not the incarnation.
 */
export const applyReport = (known: FleetEndpoint | undefined, report: EndpointReport, revision: number, former?: FleetEndpoint): FleetEndpoint | undefined => {
	const isLate = known !== undefined && report.sequence <= known.sequence;
	if (known?.phase === EndpointPhase.Gone || isLate) {
		return known;
	}

	const phase = nextPhase(known, report);
	return {
		...report,
		isLeaving: phase === EndpointPhase.Leaving,
		holds: keepAdapters(known, report),
		phase,
		retiring: known?.retiring,
		loading: known?.loading,
		isOrdering: (known ?? former)?.isOrdering ?? false,
		limitPerSecond: known?.limitPerSecond,
		hasCrashed: known?.hasCrashed,
		orderedAt: known?.orderedAt ?? 0,
		revision,
	};
};

/** Records what an engine holds after an order. */
export const applyHoldings = (known: FleetEndpoint | undefined, {adapters, retiring, loading, isOrdering}: Holdings, revision: number): FleetEndpoint | undefined =>
	known && {
		...known,
		holds: known.holds.map(held => ({...held, adapters: adapters[held.name] ?? held.adapters})),
		retiring,
		loading,
		isOrdering,
		orderedAt: revision,
		revision,
	};

const createComparisonKey = (report: EndpointReport): string => JSON.stringify([
	report.service, report.address, report.failureDomain, report.slots, report.holds.map(({name}) => name), report.inMemory, report.onDisk,
]);

/** Whether a heartbeat differs from the recorded state; only then it goes through the log. */
export const changesEndpoint = (known: FleetEndpoint | undefined, report: EndpointReport): boolean => {
	if (!known) {
		return true;
	}

	if (known.phase === EndpointPhase.Gone || report.sequence <= known.sequence) {
		return false;
	}

	return nextPhase(known, report) !== known.phase || createComparisonKey(known) !== createComparisonKey(report);
};
