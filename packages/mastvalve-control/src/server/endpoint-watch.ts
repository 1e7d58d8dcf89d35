/**
 * Membership of endpoints from the platform's list, which lags, flaps and may contradict the sidecars.
 *
 * "Leaving" counts at once and for good. Absence counts only for an endpoint that the list has shown in this
 * incarnation, and only after several looks in a row, since a list that lags doesn't show newcomers yet.
 */

import {EndpointState, type Endpoint} from 'mastvalve-types';
import type {EndpointChange} from '../state/commands.js';

/** One line of the platform's list. */
export type ListedInstance = {id: string; state: 'live' | 'leaving'};

/** Looks in a row without an endpoint after which it counts as gone. */
const maxMissedLooks = 3;

type Sighting = {incarnation: number; wasSeen: boolean; missed: number};

/** Compares looks at the list with the configuration. */
export class EndpointWatch {
	private readonly sightings = new Map<string, Sighting>();

	/** What follows from one look. */
	observe(endpoints: readonly Endpoint[], listed: readonly ListedInstance[]): EndpointChange[] {
		const byId = new Map(listed.map(instance => [instance.id, instance]));
		return endpoints.filter(endpoint => endpoint.state !== EndpointState.Gone).flatMap(endpoint => {
			const state = this.judge(endpoint, byId.get(endpoint.id));
			return state === undefined || state === endpoint.state ? [] : [{endpointId: endpoint.id, incarnation: endpoint.incarnation, state}];
		});
	}

	private judge(endpoint: Endpoint, listed: ListedInstance | undefined): EndpointState | undefined {
		const sighting = this.sightingOf(endpoint);
		if (listed) {
			sighting.wasSeen = true;
			sighting.missed = 0;
			return listed.state === 'leaving' ? EndpointState.Leaving : undefined;
		}

		sighting.missed += 1;
		return sighting.wasSeen && sighting.missed >= maxMissedLooks ? EndpointState.Gone : undefined;
	}

	private sightingOf(endpoint: Endpoint): Sighting {
		const known = this.sightings.get(endpoint.id);
		if (known?.incarnation === endpoint.incarnation) {
			return known;
		}

		const created = {incarnation: endpoint.incarnation, wasSeen: false, missed: 0};
		this.sightings.set(endpoint.id, created);
		return created;
	}
}
