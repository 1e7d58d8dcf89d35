/**
 * One life of an endpoint: from a start of its process to its end. An endpoint may start again under the name that it had; it
 * then knows nothing of before, and its counts begin anew. All that is kept of an endpoint is kept of one life, by the
 * identity that is made here of its name and the time of its start.
 */

/** Name and start of a life. */
export type EndpointLife = {
	/** What the endpoint calls itself, and what requests and orders for it name. */
	name: string;
	/**
	 * When it started by its own clock, ms since the epoch; undefined for one that doesn't tell. Clocks of machines step, so it
	 * orders the lives of one name and nothing else.
	 */
	bornAt: number | undefined;
};

const separator = '#';
const pattern = /^(?<name>.+)#(?<bornAt>\d+)$/v;

/** The identity of a life. */
export const formatLife = ({name, bornAt}: EndpointLife): string => (bornAt === undefined ? name : `${name}${separator}${bornAt}`);

/** The life that an identity names. */
export const parseLife = (id: string): EndpointLife => {
	const groups = pattern.exec(id)?.groups;
	return groups?.name === undefined ? {name: id, bornAt: undefined} : {name: groups.name, bornAt: Number(groups.bornAt)};
};

/** Whether an identity is that of an earlier life of the same endpoint than another one. */
export const isEarlierLife = (id: string, other: string): boolean => {
	const life = parseLife(id);
	const otherLife = parseLife(other);
	return life.name === otherLife.name && (life.bornAt ?? Number.NEGATIVE_INFINITY) < (otherLife.bornAt ?? Number.NEGATIVE_INFINITY);
};
