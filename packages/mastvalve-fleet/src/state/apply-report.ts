/**
 * How a heartbeat or the end of an order changes an endpoint, as pure functions.
 */

import type {Holdings} from './fleet-command.js';
import {EndpointPhase, type EndpointReport, type FleetEndpoint} from './fleet-endpoint.js';

const phaseAfter = (known: FleetEndpoint | undefined, report: EndpointReport): EndpointPhase => {
	const isLeaving = report.isLeaving || known?.phase === EndpointPhase.Leaving;
	return isLeaving ? EndpointPhase.Leaving : EndpointPhase.Ready;
};

/** Takes a heartbeat in; a late one, or one of an endpoint that has left, changes nothing. */
export const applyReport = (known: FleetEndpoint | undefined, report: EndpointReport, revision: number): FleetEndpoint | undefined => {
	const isLate = known !== undefined && report.sequence <= known.sequence;
	if (known?.phase === EndpointPhase.Gone || isLate) {
		return known;
	}

	return {
		...report, phase: phaseAfter(known, report), retiring: known?.retiring, revision,
	};
};

/** Records what an engine holds after an order. */
export const applyHoldings = (known: FleetEndpoint | undefined, {holds, retiring}: Holdings, revision: number): FleetEndpoint | undefined =>
	known && {
		...known, holds, retiring, revision,
	};

const comparable = (report: EndpointReport): string => JSON.stringify([
	report.service, report.address, report.failureDomain, report.slots, report.holds, report.inMemory, report.onDisk,
]);

/** Whether a heartbeat says anything that the state doesn't; only then it needs the log. */
export const isNews = (known: FleetEndpoint | undefined, report: EndpointReport): boolean => {
	if (!known) {
		return true;
	}

	if (known.phase === EndpointPhase.Gone || report.sequence <= known.sequence) {
		return false;
	}

	return phaseAfter(known, report) !== known.phase || comparable(known) !== comparable(report);
};
