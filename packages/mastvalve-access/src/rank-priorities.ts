/**
 * One urgency for a request from two: that of its workspace goes first, that of its route decides among equals.
 *
 * Engines know a few steps of urgency only. The pairs that a configuration can bring are ranked, so that as few steps as
 * possible are used, and none is lost while there are no more pairs than steps.
 */

/** Priorities that engines know: 0 to 9. */
const lastStep = 9;

/** What a configuration gives: priorities of its workspaces and routes; undefined stands for the least urgent. */
export type PriorityInput = {workspaces: ReadonlyArray<number | undefined>; routes: readonly number[]};

/** Step of a pair. */
export type PriorityRank = (workspace: number | undefined, route: number) => number;

const distinct = (values: readonly number[]): number[] => [...new Set(values)].toSorted((a, b) => a - b);

/** Ranks all pairs. Without workspaces the routes' own priorities stay as they are. */
export const rankPriorities = ({workspaces, routes}: PriorityInput): PriorityRank => {
	if (workspaces.length === 0) {
		return (_, route) => Math.min(lastStep, Math.max(0, route));
	}

	const outer = distinct(workspaces.map(priority => priority ?? Number.POSITIVE_INFINITY));
	const inner = distinct(routes);
	const pairs = outer.length * inner.length;
	const scale = pairs - 1 > lastStep ? lastStep / (pairs - 1) : 1;
	return (workspace, route) => {
		const outerAt = outer.indexOf(workspace ?? Number.POSITIVE_INFINITY);
		const rank = ((outerAt === -1 ? outer.length - 1 : outerAt) * inner.length) + Math.max(0, inner.indexOf(route));
		return Math.floor(rank * scale);
	};
};
