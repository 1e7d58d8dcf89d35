/**
 * Counts at the leader what workspaces may still ask for: entries claim what a request costs before they take it.
 */

import {
	LimitLedger, WorkspaceTable, type LimitClaim, type LimitTolerance,
} from 'mastvalve-access';
import type {ServingConfiguration} from 'mastvalve-fleet';

/** What it is made from. */
export type LimitDeskOptions = {
	tolerance: LimitTolerance;
	readConfiguration: () => ServingConfiguration | undefined;
	/** The term in which this instance leads with a valid lease; undefined when it doesn't. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
};

/** The answer to claims: for each in its order 0, or the time until there is room, ms. */
export type LimitAnswers = {waitMs: number[]};

/** The desk. */
export class LimitDesk {
	private readonly ledger: LimitLedger;
	private term: number | undefined;
	private known: {configuration: ServingConfiguration; workspaces: WorkspaceTable} | undefined;

	constructor(private readonly options: LimitDeskOptions) {
		this.ledger = new LimitLedger(options.tolerance);
	}

	/** Answers claims; undefined when another instance may lead. */
	settle(claims: readonly LimitClaim[]): LimitAnswers | undefined {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (term !== this.term) {
			this.ledger.reset();
			this.term = term;
		}

		const workspaces = this.readWorkspaces();
		const now = this.options.now();
		return {
			waitMs: claims.map(({workspace, cost}) => {
				const known = workspaces?.find(workspace);
				// A workspace that is gone has no limit here; the entry refuses its keys by itself.
				return known ? this.ledger.settle(known, cost, now) : 0;
			}),
		};
	}

	private readWorkspaces(): WorkspaceTable | undefined {
		const configuration = this.options.readConfiguration();
		if (configuration && this.known?.configuration !== configuration) {
			this.known = {configuration, workspaces: new WorkspaceTable(configuration.workspaces ?? [])};
		}

		return configuration && this.known?.workspaces;
	}
}
