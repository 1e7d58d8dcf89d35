/**
 * Follows control: polls one instance at a time for changes, preferring the same failure domain, and falls back to the next
 * when it does not answer or can't confirm that its state is the newest. It returns to a nearer instance as soon as that one
 * answers, since updates of endpoints are most of the traffic between failure domains, and since all entries would otherwise
 * stay with the instance that they found first, which would carry the load alone.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {FollowResponse} from 'mastvalve-fleet-control';
import {waitFor} from 'mastvalve-utils';
import type {AccessChecker} from '../access/access-checker.js';
import type {FleetView} from './fleet-view.js';
import {SourceSelector} from './source-selector.js';

export type FleetFollowerOptions = {
	client: PeerClient;
	view: FleetView;
	/** Receives the time up to which control confirmed that its answer was complete. */
	access: Pick<AccessChecker, 'recordAnswer' | 'canAuthorize'>;
	/** Returns addresses of control instances to poll besides those named in an answer. */
	listSources: () => string[];
	/** Returns the distance of an instance; lower is nearer. */
	distanceTo: (address: string) => number;
	/** Monotonic clock, ms. */
	now: () => number;
	onEvent: (kind: string, detail: string) => void;
	/** Called when the known leader has changed. */
	onLeaderChange?: () => void;
};

/** Longest time for which control may hold a request until a change, ms. */
const longPollMs = 400;
/** Time without a byte after which an instance counts as unreachable, ms. Together with a second attempt it stays below the bound for configurations. */
const idleTimeoutMs = 800;
/** Delay when no instance is known or all have failed, ms. */
const noSourceDelayMs = 60;

export class FleetFollower {
	/** Address of control's leader, from the latest answer. */
	leader: string | undefined;
	/** Addresses of all control instances, from the latest answer. */
	private members: string[] = [];
	private readonly sources: SourceSelector;
	private isConnected = false;
	/** Aborts the request in flight. */
	private requestController = new AbortController();

	constructor(private readonly options: FleetFollowerOptions) {
		this.sources = new SourceSelector(options);
	}

	/** Returns the control instances of the latest answer, the nearest first. */
	listMembers(): string[] {
		return this.members.toSorted((a, b) => this.options.distanceTo(a) - this.options.distanceTo(b));
	}

	/** Aborts the request in flight and sends a new one, since the pending answer may be older than the monotonic clock indicates. */
	restartRequest(): void {
		this.requestController.abort();
	}

	/** Follows until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let candidates = this.listCandidates();
		while (!signal.aborted) {
			const address = this.sources.select(this.members) ?? candidates.shift();
			if (address === undefined) {
				candidates = this.listCandidates();
				// eslint-disable-next-line no-await-in-loop
				await waitFor(noSourceDelayMs, signal);
			} else {
				// One request at a time.
				// eslint-disable-next-line no-await-in-loop
				await this.request(address, signal);
			}
		}
	}

	private listCandidates(): string[] {
		return [...new Set([...this.members, ...this.options.listSources()])]
			.toSorted((a, b) => this.options.distanceTo(a) - this.options.distanceTo(b));
	}

	private async request(address: string, signal: AbortSignal): Promise<void> {
		const {client, view, access, now, onEvent} = this.options;
		const mustBeNewest = !view.isSynced || !access.canAuthorize;
		const requestController = new AbortController();
		this.requestController = requestController;
		const askedAt = now();
		const answer = await client.call<FollowResponse>({
			address, path: '/follow', idleTimeoutMs, signal: AbortSignal.any([signal, requestController.signal]), body: {place: view.cursor, waitMs: longPollMs, mustBeNewest},
		});
		if (answer.isErr() && requestController.signal.aborted) {
			return;
		}

		if (answer.isErr()) {
			const isLost = this.sources.recordFailure(address);
			if (isLost && this.isConnected && !signal.aborted) {
				onEvent('control.lost', answer.error.message);
			}

			this.isConnected &&= !isLost;
			return;
		}

		const {update, members, leader, sureAfterMs} = answer.value;
		this.members = members;
		const hasNewLeader = this.leader !== leader;
		this.leader = leader;
		if (hasNewLeader) {
			this.options.onLeaderChange?.();
		}

		const hasNewSource = this.sources.recordAnswer(address);
		const previousVersion = view.configuration?.version;
		view.apply(update, mustBeNewest);
		if (sureAfterMs !== undefined && update.configuration.isLast) {
			access.recordAnswer(askedAt, sureAfterMs);
		}

		if (view.configuration && view.configuration.version !== previousVersion) {
			onEvent('configuration.in-force', `version ${view.configuration.version}, ${view.configuration.routes.size} routes, from ${address} at revision ${view.revision}`);
		}

		if (!this.isConnected || hasNewSource) {
			this.isConnected = true;
			onEvent('control.regained', `following ${address} at revision ${view.revision}`);
		}
	}
}
