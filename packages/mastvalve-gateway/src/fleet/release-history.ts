/**
 * Releases of the endpoints of each service: those that serve, and those that have ended within the time that a stream lasts.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';

type SeenEndpoint = {endpoint: Pick<FleetEndpoint, 'id' | 'release'>; service: string; isGone: boolean; seenAt: number};

/** Longer than any stream lasts, and as long as control remembers endpoints that have ended, ms. */
const memoryMs = 120_000;

const sweepIntervalMs = 1000;

export class ReleaseHistory {
	private readonly seen = new Map<string, SeenEndpoint>();
	private sweptAt = 0;
	/** Services with several releases; undefined when it has to be computed. */
	private mixed: Set<string> | undefined;

	/** Records an endpoint as it is now. */
	record({id, release, service}: FleetEndpoint, isGone: boolean, now: number): void {
		this.mixed = undefined;
		this.seen.set(id, {
			endpoint: {id, release}, service, isGone, seenAt: now,
		});
	}

	/** Records that the endpoints other than these have ended. */
	retain(isKnown: (id: string) => boolean, now: number): void {
		[...this.seen].filter(([id, {isGone}]) => !isGone && !isKnown(id)).forEach(([id, known]) => {
			this.seen.set(id, {...known, isGone: true, seenAt: now});
		});
	}

	/** Returns the endpoints of a service that may have begun a stream that is still wanted. */
	list(service: string, now: number): Array<Pick<FleetEndpoint, 'id' | 'release'>> {
		this.sweep(now);
		return [...this.seen.values()].filter(known => known.service === service).map(({endpoint}) => endpoint);
	}

	/** Whether endpoints of a service have several releases. */
	isMixed(service: string, now: number): boolean {
		this.sweep(now);
		this.mixed ??= this.listMixed();
		return this.mixed.has(service);
	}

	private listMixed(): Set<string> {
		const first = new Map<string, string>();
		const mixed = new Set<string>();
		this.seen.forEach(({service, endpoint}) => {
			if ((first.get(service) ?? endpoint.release) !== endpoint.release) {
				mixed.add(service);
			}

			first.set(service, endpoint.release);
		});
		return mixed;
	}

	private sweep(now: number): void {
		if (now < this.sweptAt + sweepIntervalMs) {
			return;
		}

		this.sweptAt = now;
		[...this.seen].filter(([, {isGone, seenAt}]) => isGone && now - seenAt > memoryMs).forEach(([id]) => {
			this.seen.delete(id);
			this.mixed = undefined;
		});
	}
}
