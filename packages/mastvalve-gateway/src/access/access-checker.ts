/**
 * Checks the access of requests by the keys in force, and tracks how long this entry may rely on them.
 */

import {
	AccessKind, KeyFreshness, authorizeRequest, type AccessDecision, type PresentedKey,
} from 'mastvalve-access';
import type {Route} from 'mastvalve-fleet';
import {SuspensionDetector, type Clock} from 'mastvalve-utils';
import type {FleetView} from '../fleet/fleet-view.js';

export type AccessCheckerOptions = {
	view: FleetView;
	clock: Clock;
	/** Longest time for which a key may be accepted after its revocation, ms; undefined if unbounded. */
	keyRevocationMs: number | undefined;
	/** Called when the freshness of the keys was invalidated because time may have passed that the monotonic clock did not count. */
	onSuspended: () => void;
};

/** Longest wait of a request for a renewed confirmation after a suspension, ms. The follower may have to try another control instance, which it gives up after 0.8 s without a byte. */
export const renewalWaitMs = 600;

export class AccessChecker {
	private readonly freshness: KeyFreshness;
	private readonly suspension: SuspensionDetector;

	constructor(private readonly options: AccessCheckerOptions) {
		this.freshness = new KeyFreshness(options.keyRevocationMs);
		this.suspension = new SuspensionDetector(options.clock);
	}

	/** Decides on a request by the current keys. */
	authorize(key: PresentedKey, route: Pick<Route, 'isAnonymous'>): AccessDecision {
		const workspaces = this.options.view.configuration?.workspaces;
		return authorizeRequest({
			key, workspaces, isAnonymous: route.isAnonymous, hasFreshKeys: this.hasFreshKeys,
		});
	}

	/** Whether requests that need a key can be decided; true if the configuration requires none. */
	get canAuthorize(): boolean {
		return this.options.view.configuration?.workspaces === undefined || this.hasFreshKeys;
	}

	/** Whether a suspension invalidated the freshness of the keys, and the next answer is expected to renew it. */
	get isAwaitingRenewal(): boolean {
		return !this.canAuthorize && this.freshness.isAwaitingRenewal(this.options.clock.now(), renewalWaitMs);
	}

	/** Time since the keys were last confirmed, ms; infinite without a valid confirmation. */
	get confirmationAgeMs(): number {
		return this.freshness.computeAgeMs(this.options.clock.now());
	}

	/** Records an answer of control to a request sent at `askedAt`; it is complete up to `sureAfterMs` later. */
	recordAnswer(askedAt: number, sureAfterMs: number): void {
		this.invalidateIfSuspended();
		this.freshness.recordAnswer(askedAt, sureAfterMs);
	}

	private get hasFreshKeys(): boolean {
		this.invalidateIfSuspended();
		return this.freshness.isFresh(this.options.clock.now());
	}

	private invalidateIfSuspended(): void {
		if (this.suspension.hasBeenSuspended()) {
			this.freshness.invalidate(this.options.clock.now());
			this.options.onSuspended();
		}
	}
}

/** Whether a request may proceed. */
export const isGranted = (access: AccessDecision): access is Extract<AccessDecision, {kind: AccessKind.Granted}> => access.kind === AccessKind.Granted;
