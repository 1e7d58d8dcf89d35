/**
 * Follows control: asks one instance at a time for changes, the one in the same failure domain first, and goes on to
 * the next when it does not answer or can't be sure of what it knows. It goes back to a nearer one as soon as that answers:
 * what an entry gets of all endpoints is most of the bytes between failure domains, and the followers of one instance that
 * everybody knew first are a load that the others don't share.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {FollowResponse} from 'mastvalve-fleet-control';
import {waitFor} from 'mastvalve-utils';
import type {AccessChecker} from '../access/access-checker.js';
import type {FleetView} from './fleet-view.js';
import {SourceSelector} from './source-selector.js';

/** What a follower is made from. */
export type FleetFollowerOptions = {
	client: PeerClient;
	view: FleetView;
	/** Hears up to which moment control was sure of what it answered. */
	access: Pick<AccessChecker, 'recordAnswer' | 'canAuthorize'>;
	/** Control instances to ask besides those that an answer has named. */
	listSources: () => string[];
	/** Lower is nearer. */
	distanceTo: (address: string) => number;
	/** Monotonic, ms. */
	now: () => number;
	onEvent: (kind: string, detail: string) => void;
	/** Called when another leader is known than before. */
	onLeaderChange?: () => void;
};

/** How long control may hold a question until something changes, ms. */
const longPollMs = 400;
/** An instance with which no byte moves for this long is out of reach, ms. The sum with a second try is below the bound for configurations. */
const silenceMs = 800;
const noSourceDelayMs = 60;

/** The follower. */
export class FleetFollower {
	/** Address of control's leader, as last heard. */
	leader: string | undefined;
	/** Addresses of all control instances, as last heard. */
	private members: string[] = [];
	private readonly sources: SourceSelector;
	private isConnected = false;
	/** Aborts the question that is on its way. */
	private requestController = new AbortController();

	constructor(private readonly options: FleetFollowerOptions) {
		this.sources = new SourceSelector(options);
	}

	/** Control instances as last heard, the nearest first. */
	listMembers(): string[] {
		return this.members.toSorted((a, b) => this.options.distanceTo(a) - this.options.distanceTo(b));
	}

	/** Asks anew at once: what the question on its way brings may be older than it seems. */
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
				// One question after the other.
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
			address, path: '/follow', idleTimeoutMs: silenceMs, signal: AbortSignal.any([signal, requestController.signal]), body: {place: view.cursor, waitMs: longPollMs, mustBeNewest},
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
			onEvent('control.regained', `follows ${address} at revision ${view.revision}`);
		}
	}
}
