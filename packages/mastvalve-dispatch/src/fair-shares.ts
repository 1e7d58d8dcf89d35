/**
 * Fair queueing of workspaces by the tokens that they were served: the one that was served least goes first.
 *
 * A workspace without waiting claims resumes at the virtual time of its urgency, so it gains no credit while it is idle.
 */

import type {DispatchClaim} from './dispatch-claim.js';

type ShareClaim = Pick<DispatchClaim, 'urgency' | 'workspace' | 'promptTokens' | 'outputTokens'>;

/** Returns the key under which the tokens of a claim are counted: workspaces share within their urgency. */
export const formatShareKey = ({urgency, workspace}: ShareClaim): string => `${urgency}\n${workspace ?? ''}`;

/** Returns the tokens that serving a claim takes. */
export const countTokens = ({promptTokens, outputTokens}: ShareClaim): number => promptTokens + outputTokens;

export class FairShares {
	private readonly served = new Map<string, number>();
	/** Virtual time by urgency: the tokens that a workspace had been served when its latest claim was. */
	private readonly virtualTimes = new Map<number, number>();

	/** Advances an idle workspace to the virtual time, when its first claim begins to wait. */
	resume(claim: ShareClaim): void {
		const key = formatShareKey(claim);
		this.served.set(key, Math.max(this.servedTokens(key), this.virtualTimes.get(claim.urgency) ?? 0));
	}

	/** Returns the tokens that a workspace was served, in virtual time. */
	servedTokens(shareKey: string): number {
		return this.served.get(shareKey) ?? 0;
	}

	/** Charges a workspace for a claim that is served after it waited. */
	charge(claim: ShareClaim): void {
		const key = formatShareKey(claim);
		const before = this.servedTokens(key);
		this.virtualTimes.set(claim.urgency, Math.max(this.virtualTimes.get(claim.urgency) ?? 0, before));
		this.served.set(key, before + countTokens(claim));
	}

	/** Forgets idle workspaces that are not ahead of the virtual time. */
	sweep(isWaiting: (shareKey: string) => boolean): void {
		[...this.served].filter(([key, tokens]) => !isWaiting(key) && tokens <= (this.virtualTimes.get(Number(key.split('\n')[0])) ?? 0)).forEach(([key]) => {
			this.served.delete(key);
		});
	}
}
