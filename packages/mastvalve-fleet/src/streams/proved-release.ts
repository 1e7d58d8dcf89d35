/**
 * The release that began a stream, as far as it is proved.
 */

import type {FleetEndpoint} from '../state/fleet-endpoint.js';
import {isAmbiguousOrigin, type StreamOrigin} from './stream-origin.js';

export enum ReleaseProof {
	/** The instance that passed the first event on has recorded it. */
	Recorded = 'recorded',
	/** No endpoint of another release has served for longer than any stream lasts. */
	SoleRelease = 'sole-release',
	None = 'none',
}

export type ProvedRelease
	= | {proof: ReleaseProof.Recorded | ReleaseProof.SoleRelease; release: string}
		| {proof: ReleaseProof.None; reason: string};

export type ReleaseEvidence = {
	origin: StreamOrigin | undefined;
	/** Endpoints of the service, also those that have ended within the time that a stream lasts. */
	endpoints: ReadonlyArray<Pick<FleetEndpoint, 'id' | 'release'>>;
	/** Time of day, ms. */
	wall: number;
};

/** Proves the release of a stream. */
export const proveRelease = ({origin, endpoints, wall}: ReleaseEvidence): ProvedRelease => {
	if (origin && !isAmbiguousOrigin(origin, endpoints, wall)) {
		return {proof: ReleaseProof.Recorded, release: origin.release};
	}

	const [release, ...others] = new Set(endpoints.map(endpoint => endpoint.release));
	if (release !== undefined && others.length === 0) {
		return {proof: ReleaseProof.SoleRelease, release};
	}

	return {proof: ReleaseProof.None, reason: origin ? 'another incarnation of its endpoint may have begun it' : `its beginning is not known, and the service has ${others.length + 1} releases`};
};
