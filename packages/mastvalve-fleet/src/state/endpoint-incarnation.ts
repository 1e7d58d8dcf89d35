/**
 * Identity of one incarnation of an endpoint: from the start of its process to its end. An endpoint may restart under the same
 * name, without its former state and with counters reset. All state of an endpoint is therefore kept per incarnation, under an
 * identity that consists of the endpoint's name and start time.
 */

/** Name and start time of an incarnation. */
export type EndpointIncarnation = {
	/** Name that the endpoint reports, and by which requests and orders address it. */
	name: string;
	/**
	 * Start time by the endpoint's own clock, ms since the epoch; undefined if not reported. Machine clocks may step, so it only
	 * orders the incarnations of one name, and not reliably.
	 */
	startedAt: number | undefined;
};

const separator = '#';
const pattern = /^(?<name>.+)#(?<startedAt>\d+)$/v;

/** Formats the identity of an incarnation as `name#startedAt`, or as the name alone without a start time. */
export const formatIncarnation = ({name, startedAt}: EndpointIncarnation): string => (startedAt === undefined ? name : `${name}${separator}${startedAt}`);

/** Parses an identity; one without a start time is a name. */
export const parseIncarnation = (id: string): EndpointIncarnation => {
	const groups = pattern.exec(id)?.groups;
	return groups?.name === undefined ? {name: id, startedAt: undefined} : {name: groups.name, startedAt: Number(groups.startedAt)};
};

/** Whether an identity is of an earlier incarnation of the same endpoint than another one, by their start times. */
export const isEarlierIncarnation = (id: string, other: string): boolean => {
	const {name, startedAt = Number.NEGATIVE_INFINITY} = parseIncarnation(id);
	const {name: otherName, startedAt: otherStartedAt = Number.NEGATIVE_INFINITY} = parseIncarnation(other);
	return name === otherName && startedAt < otherStartedAt;
};
