/**
 * What an entry knows of who may ask: the keys in force, and for how long it may still believe them.
 */

import {
	AccessKind, KeyFreshness, authorizeRequest, type AccessDecision, type PresentedKey,
} from 'mastvalve-access';
import type {Route} from 'mastvalve-fleet';
import {SuspensionWatch, type Clock} from 'mastvalve-utils';
import type {FleetView} from '../fleet/fleet-view.js';

/** What it is made from. */
export type AccessCheckerOptions = {
	view: FleetView;
	clock: Clock;
	/** Longest time for which a key may be served after it was taken away, ms; undefined when there is no such bound. */
	keyRevocationMs: number | undefined;
	/** Called when the evidence has ended because time went by that nobody counted. */
	onSuspended: () => void;
};

/** How long requests wait for new evidence after a suspension, ms: the follower may have to try another control instance, at which it gives up after 0.8 s without a byte. */
export const renewalWaitMs = 600;

/** The checker. */
export class AccessChecker {
	private readonly freshness: KeyFreshness;
	private readonly suspension: SuspensionWatch;

	constructor(private readonly options: AccessCheckerOptions) {
		this.freshness = new KeyFreshness(options.keyRevocationMs);
		this.suspension = new SuspensionWatch(options.clock);
	}

	/** Judges a request at this moment. */
	authorize(key: PresentedKey, route: Pick<Route, 'isAnonymous'>): AccessDecision {
		const workspaces = this.options.view.configuration?.workspaces;
		return authorizeRequest({
			key, workspaces, isAnonymous: route.isAnonymous, hasFreshKeys: this.hasFreshKeys,
		});
	}

	/** Whether requests that need a key can be served; true where none is asked for. */
	get canAuthorize(): boolean {
		return this.options.view.configuration?.workspaces === undefined || this.hasFreshKeys;
	}

	/** Whether the evidence was ended by a suspension and is expected back. */
	get isAwaitingRenewal(): boolean {
		return !this.canAuthorize && this.freshness.isAwaitingRenewal(this.options.clock.now(), renewalWaitMs);
	}

	/** Age of the evidence, ms. */
	get confirmationAgeMs(): number {
		return this.freshness.computeAgeMs(this.options.clock.now());
	}

	/** Control answered a question that was asked at `askedAt`. */
	recordAnswer(askedAt: number, sureAfterMs: number): void {
		this.invalidateIfSuspended();
		this.freshness.recordAnswer(askedAt, sureAfterMs);
	}

	private get hasFreshKeys(): boolean {
		this.invalidateIfSuspended();
		return this.freshness.isFresh(this.options.clock.now());
	}

	private invalidateIfSuspended(): void {
		if (this.suspension.hasJumped()) {
			this.freshness.invalidate(this.options.clock.now());
			this.options.onSuspended();
		}
	}
}

/** Whether a request may go on. */
export const isGranted = (access: AccessDecision): access is Extract<AccessDecision, {kind: AccessKind.Granted}> => access.kind === AccessKind.Granted;
