/**
 * Combines the priorities of a request's workspace and route into one: the workspace's priority takes precedence, the route's breaks ties.
 *
 * Engines support few priority levels. The pairs that occur in a configuration are ranked, so that as few levels as possible are used, and
 * all pairs stay distinct unless there are more pairs than levels.
 */

/** Engines support priorities 0 to 9. */
const lowestEnginePriority = 9;

/** Priorities of the workspaces and routes of a configuration; undefined is the least urgent. */
export type PriorityInput = {workspaces: ReadonlyArray<number | undefined>; routes: readonly number[]};

/** Returns the priority level of a pair. */
export type PriorityRank = (workspace: number | undefined, route: number) => number;

const sortDistinct = (values: readonly number[]): number[] => [...new Set(values)].toSorted((a, b) => a - b);

/** Ranks all pairs. Without workspaces the routes' own priorities apply. */
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
