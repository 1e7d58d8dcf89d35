/**
 * What keys and limits cost on the path of a request, at three numbers of keys: the median of several runs, in microseconds.
 */

import {
	digestKey, KeyFreshness, authorizeRequest, LimitLedger, LimitUnit, parsePresentedKey, WorkspaceTable, type Workspace,
} from 'mastvalve-access';
import {systemClock} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {quantile} from '../statistics.js';

const keyCounts = [10, 1000, 100_000];
const workspaceCount = 10;
const runs = 9;
const requestsPerRun = 20_000;
const microsecondsPerMs = 1000;

const createWorkspaces = (keys: number): Workspace[] => Array.from({length: workspaceCount}, (_, index) => ({
	name: `w${index}`,
	keyDigests: Array.from({length: keys / workspaceCount}, (_unused, key) => digestKey(`key-${index}-${key}`)),
	priority: index % 3,
	limit: {
		unit: LimitUnit.Tokens, ratePerSecond: 1e6, burst: 1e6, plainTokens: 200,
	},
}));

/** Median time of one step, µs. */
const measure = (step: (index: number) => void): number => {
	const times = Array.from({length: runs}, () => {
		const startedAt = systemClock.now();
		Array.from({length: requestsPerRun}).forEach((_, index) => {
			step(index);
		});
		return (systemClock.now() - startedAt) / requestsPerRun * microsecondsPerMs;
	});
	return quantile(times, 0.5);
};

const measureKeys = (keys: number): string[] => {
	const workspaces = createWorkspaces(keys);
	const table = new WorkspaceTable(workspaces);
	const evidence = new KeyFreshness(5000);
	evidence.recordAnswer(0, 0);
	const fields = Array.from({length: 100}, (_, index) => [`Bearer key-${index % workspaceCount}-${Math.floor(index / workspaceCount) % (keys / workspaceCount)}`]);
	const read = measure(index => {
		parsePresentedKey(fields[index % fields.length]!);
	});
	const presented = fields.map(field => parsePresentedKey(field));
	const judged = measure(index => {
		authorizeRequest({
			key: presented[index % presented.length]!, workspaces: table, isAnonymous: false, hasFreshKeys: evidence.isFresh(index % 1000),
		});
	});
	const ledger = new LimitLedger({windowMs: 8000, overage: 0.1, slack: 17_000}, -1000);
	const settled = measure(index => {
		const workspace = workspaces[index % workspaceCount]!;
		ledger.needsRecord(workspace, 100, index / 10);
		ledger.applyClaim(workspace, 100, index / 10);
	});
	return [String(keys), ...[read, judged, settled].map(us => us.toFixed(2))];
};

/** The table. */
export const benchAccess = (): BenchTable[] => [{
	title: 'keys and limits, µs a request',
	rows: [['keys', 'read and digest the key', 'judge key and evidence', 'settle a limit claim (leader)'], ...keyCounts.map(keys => measureKeys(keys))],
}];
