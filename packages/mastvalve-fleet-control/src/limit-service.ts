/**
 * Counts at the leader what workspaces may still ask for: entries claim what a request costs before they take it.
 */

import {
	LimitLedger, WorkspaceTable, type FormerGrant, type LimitClaim, type LimitTolerance,
} from 'mastvalve-access';
import type {ServingConfiguration} from 'mastvalve-fleet';

/** What it is made from. */
export type LimitServiceOptions = {
	tolerance: LimitTolerance;
	readConfiguration: () => ServingConfiguration | undefined;
	/** The term in which this instance leads with a valid lease; undefined when it doesn't. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
};

/** What an entry asks of the leader. */
export type LimitQuestion = {
	entry: string;
	claims: LimitClaim[];
	/** What the entry was granted before; missing when it has told this leader already. */
	history?: FormerGrant[];
};

/** The answer. */
export type LimitAnswers = {
	/** For each claim in its order 0, or the time until there is room, ms. */
	waitMs: number[];
	/** Set when this leader doesn't know what the entry was granted before; nothing was taken then. */
	needsHistory: boolean;
};

/** The service. */
export class LimitService {
	/** Of the term in which this instance leads. */
	private account: {term: number; ledger: LimitLedger; heard: Set<string>} | undefined;
	private known: {configuration: ServingConfiguration; workspaces: WorkspaceTable} | undefined;

	constructor(private readonly options: LimitServiceOptions) {}

	/** Answers claims; undefined when another instance may lead. */
	settle({entry, claims, history}: LimitQuestion): LimitAnswers | undefined {
		const account = this.openAccount();
		if (!account) {
			return undefined;
		}

		const {ledger, heard} = account;
		const workspaces = this.readWorkspaces();
		const now = this.options.now();
		if (history && !heard.has(entry)) {
			heard.add(entry);
			history.forEach(grant => {
				const known = workspaces?.find(grant.workspace);
				if (known) {
					ledger.addFormer(known, grant, now);
				}
			});
		}

		if (!heard.has(entry)) {
			return {waitMs: [], needsHistory: true};
		}

		return {
			needsHistory: false,
			waitMs: claims.map(({workspace, cost}) => {
				const known = workspaces?.find(workspace);
				// A workspace that is gone has no limit here; the entry refuses its keys by itself.
				return known ? ledger.settle(known, cost, now) : 0;
			}),
		};
	}

	/** The account of the present term; another one may have counted in between. */
	private openAccount(): LimitService['account'] {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.account?.term !== term) {
			this.account = {term, ledger: new LimitLedger(this.options.tolerance, this.options.now()), heard: new Set()};
		}

		return this.account;
	}

	private readWorkspaces(): WorkspaceTable | undefined {
		const configuration = this.options.readConfiguration();
		if (configuration && this.known?.configuration !== configuration) {
			this.known = {configuration, workspaces: new WorkspaceTable(configuration.workspaces ?? [])};
		}

		return configuration && this.known?.workspaces;
	}
}
