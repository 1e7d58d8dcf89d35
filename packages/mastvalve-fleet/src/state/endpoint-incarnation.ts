/**
 * One incarnation of an endpoint: from a start of its process to its end. An endpoint may start again under the name that it had; it
 * then knows nothing of before, and its counts begin anew. All that is kept of an endpoint is kept of one incarnation, by the
 * identity that is made here of its name and the time of its start.
 */

/** Name and start of an incarnation. */
export type EndpointIncarnation = {
	/** What the endpoint calls itself, and what requests and orders for it name. */
	name: string;
	/**
	 * When it started by its own clock, ms since the epoch; undefined for one that doesn't tell. Clocks of machines step, so it
	 * orders the incarnations of one name and nothing else, and not even those for certain.
	 */
	startedAt: number | undefined;
};

const separator = '#';
const pattern = /^(?<name>.+)#(?<startedAt>\d+)$/v;

/** The identity of an incarnation. */
export const formatIncarnation = ({name, startedAt}: EndpointIncarnation): string => (startedAt === undefined ? name : `${name}${separator}${startedAt}`);

/** The incarnation that an identity names. */
export const parseIncarnation = (id: string): EndpointIncarnation => {
	const groups = pattern.exec(id)?.groups;
	return groups?.name === undefined ? {name: id, startedAt: undefined} : {name: groups.name, startedAt: Number(groups.startedAt)};
};

/** Whether an identity is that of an earlier incarnation of the same endpoint than another one, as far as births tell. */
export const isEarlierIncarnation = (id: string, other: string): boolean => {
	const {name, startedAt = Number.NEGATIVE_INFINITY} = parseIncarnation(id);
	const {name: otherName, startedAt: otherStartedAt = Number.NEGATIVE_INFINITY} = parseIncarnation(other);
	return name === otherName && startedAt < otherStartedAt;
};
