/**
 * Records what entries report of crashed endpoints, and of requests that were answered although crashes count against their content.
 */

import {
	FleetCommandKind, type CrashReport, type FleetCommand, type FleetMachine, type SuccessReport,
} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import {ok, type Result} from 'neverthrow';

export type CrashServiceOptions = {
	machine: Pick<FleetMachine, 'isCrashNews' | 'isSuccessNews'>;
	/** Whether this instance leads, so that its state is the newest. */
	isLeading: () => boolean;
	/** Called with the endpoints that reports to the leader are about, whether or not they change the state. */
	onReported: (ids: readonly string[]) => void;
	propose: (command: FleetCommand) => Promise<Result<unknown, MastvalveError>>;
	onEvent: (kind: string, detail: string) => void;
};

/** Joins a list for a log line. */
const formatList = (items: readonly string[]): string => items.join(', ') || 'none';

export class CrashService {
	constructor(private readonly options: CrashServiceOptions) {}

	/** Records crashes. They are acknowledged once committed: the counts must survive a change of leader. */
	async recordCrashes(reports: CrashReport[]): Promise<Result<true, MastvalveError>> {
		const {machine, isLeading, onReported, propose, onEvent} = this.options;
		if (isLeading()) {
			onReported(reports.map(({endpointId}) => endpointId));
		}

		const news = isLeading() ? reports.filter(report => machine.isCrashNews(report)) : reports;
		if (news.length === 0) {
			return ok(true);
		}

		const result = await propose({kind: FleetCommandKind.RecordCrashes, reports: news});
		if (result.isOk()) {
			const crashed = news.map(({endpointId, fingerprints, suspects}) => `${endpointId} with ${(suspects ?? fingerprints).length} requests and parts of prompts in flight`);
			onEvent('endpoint.crashed', `${formatList(crashed)}; quarantined: ${formatList(assumeType<string[]>(result.value))}`);
		}

		return result.map(() => true as const);
	}

	/** Records requests that were answered. Of reports that say the same, only the first goes through the leader's log. */
	async recordSuccesses(reports: SuccessReport[]): Promise<Result<true, MastvalveError>> {
		const {machine, isLeading, propose, onEvent} = this.options;
		const news = isLeading() ? reports.filter(report => machine.isSuccessNews(report)) : reports;
		if (news.length === 0) {
			return ok(true);
		}

		const result = await propose({kind: FleetCommandKind.RecordSuccesses, reports: news});
		if (result.isOk()) {
			const cleared = news.map(({fingerprint, answeredNumber, begunNumber}) => `${fingerprint}, answered whole after crash ${answeredNumber} and begun after crash ${begunNumber}`);
			onEvent('suspects.cleared', `${formatList(cleared)}; quarantine ended: ${formatList(assumeType<string[]>(result.value))}`);
		}

		return result.map(() => true as const);
	}
}
