/**
 * Records ceilings of the grants to workspaces in the log, one command at a time for all workspaces that are due.
 */

import type {GrantRecord, RecordedCeilings} from 'mastvalve-access';
import {FleetCommandKind, type FleetCommand} from 'mastvalve-fleet';

export type GrantRecorderOptions = {
	/** Ceilings that are committed and applied. */
	committed: RecordedCeilings;
	/** Resolves to whether the command was committed. */
	propose: (command: FleetCommand) => Promise<boolean>;
	listDue: () => GrantRecord[];
};

/** Recorder of one term. */
export class GrantRecorder implements RecordedCeilings {
	private committing: Promise<boolean> | undefined;
	/** Amounts of commands whose outcome isn't known: they may be in force for the next leader. */
	private readonly uncertain = new Map<string, number>();

	constructor(private readonly options: GrantRecorderOptions) {}

	/** Returns the amount that is in force for the next leader in any case. */
	read(workspace: string): number {
		return Math.min(this.options.committed.read(workspace), this.uncertain.get(workspace) ?? Number.POSITIVE_INFINITY);
	}

	listWorkspaces(): string[] {
		return this.options.committed.listWorkspaces();
	}

	/** Records what is due, after a command in flight has ended; resolves to whether it was committed. */
	async record(): Promise<boolean> {
		await this.committing;
		this.committing ??= this.commit().finally(() => {
			this.committing = undefined;
		});
		return this.committing;
	}

	/** Records what is due, unless a command is in flight. */
	async recordAhead(): Promise<void> {
		if (!this.committing) {
			await this.record();
		}
	}

	private async commit(): Promise<boolean> {
		const grants = this.options.listDue();
		if (grants.length === 0) {
			return true;
		}

		grants.forEach(({workspace, amount}) => {
			this.uncertain.set(workspace, Math.min(amount, this.read(workspace)));
		});
		const isCommitted = await this.options.propose({kind: FleetCommandKind.RecordGrants, grants});
		if (isCommitted) {
			grants.forEach(({workspace}) => {
				this.uncertain.delete(workspace);
			});
		}

		return isCommitted;
	}
}
