/**
 * One urgency for a request from two: that of its workspace goes first, that of its route decides among equals.
 *
 * Engines know a few steps of urgency only. The pairs that a configuration can bring are ranked, so that as few steps as
 * possible are used, and none is lost while there are no more pairs than steps.
 */

/** Priorities that engines know: 0 to 9. */
const lowestEnginePriority = 9;

/** What a configuration gives: priorities of its workspaces and routes; undefined stands for the least urgent. */
export type PriorityInput = {workspaces: ReadonlyArray<number | undefined>; routes: readonly number[]};

/** Step of a pair. */
export type PriorityRank = (workspace: number | undefined, route: number) => number;

const sortDistinct = (values: readonly number[]): number[] => [...new Set(values)].toSorted((a, b) => a - b);

/** Ranks all pairs. Without workspaces the routes' own priorities stay as they are. */
export const rankPriorities = ({workspaces, routes}: PriorityInput): PriorityRank => {
	if (workspaces.length === 0) {
		return (_, route) => Math.min(lowestEnginePriority, Math.max(0, route));
	}

	const workspacePriorities = sortDistinct(workspaces.map(priority => priority ?? Number.POSITIVE_INFINITY));
	const routePriorities = sortDistinct(routes);
	const pairCount = workspacePriorities.length * routePriorities.length;
	const scale = pairCount - 1 > lowestEnginePriority ? lowestEnginePriority / (pairCount - 1) : 1;
	return (workspace, route) => {
		const workspaceIndex = workspacePriorities.indexOf(workspace ?? Number.POSITIVE_INFINITY);
		const rank = ((workspaceIndex === -1 ? workspacePriorities.length - 1 : workspaceIndex) * routePriorities.length) + Math.max(0, routePriorities.indexOf(route));
		return Math.floor(rank * scale);
	};
};
