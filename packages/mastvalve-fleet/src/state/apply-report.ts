/**
 * How a heartbeat or the end of an order changes an endpoint, as pure functions.
 */

import type {Holdings} from './fleet-command.js';
import {
	EndpointPhase, type EndpointReport, type FleetEndpoint, type HeldModel,
} from './fleet-endpoint.js';

const phaseAfter = (known: FleetEndpoint | undefined, report: EndpointReport): EndpointPhase => {
	const isLeaving = report.isLeaving || known?.phase === EndpointPhase.Leaving;
	return isLeaving ? EndpointPhase.Leaving : EndpointPhase.Ready;
};

/**
 * Models as the heartbeat tells them, with the adapters that control knows: endpoints send no heartbeat when adapters
 * change, and only control's orders change them.
 */
const keepAdapters = (known: FleetEndpoint | undefined, report: EndpointReport): HeldModel[] =>
	report.holds.map(held => known?.holds.find(({name}) => name === held.name) ?? held);

/**
 * Takes a heartbeat in; a late one, or one of an endpoint that has left, changes nothing. What was ordered of the former incarnation
 * of a new one may still come to it, since orders name the endpoint and not the incarnation.
 */
export const applyReport = (known: FleetEndpoint | undefined, report: EndpointReport, revision: number, former?: FleetEndpoint): FleetEndpoint | undefined => {
	const isLate = known !== undefined && report.sequence <= known.sequence;
	if (known?.phase === EndpointPhase.Gone || isLate) {
		return known;
	}

	const phase = phaseAfter(known, report);
	return {
		...report,
		isLeaving: phase === EndpointPhase.Leaving,
		holds: keepAdapters(known, report),
		phase,
		retiring: known?.retiring,
		loading: known?.loading,
		isOrdering: (known ?? former)?.isOrdering ?? false,
		limitPerSecond: known?.limitPerSecond,
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

const comparable = (report: EndpointReport): string => JSON.stringify([
	report.service, report.address, report.failureDomain, report.slots, report.holds.map(({name}) => name), report.inMemory, report.onDisk,
]);

/** Whether a heartbeat says anything that the state doesn't; only then it needs the log. */
export const changesEndpoint = (known: FleetEndpoint | undefined, report: EndpointReport): boolean => {
	if (!known) {
		return true;
	}

	if (known.phase === EndpointPhase.Gone || report.sequence <= known.sequence) {
		return false;
	}

	return phaseAfter(known, report) !== known.phase || comparable(known) !== comparable(report);
};
