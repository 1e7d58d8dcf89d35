/**
 * What a member of a control group is made from.
 */

import type {ReplicaTimes, StateMachine} from 'mastvalve-replication';
import type {Clock} from 'mastvalve-utils';
import type {PeerClient} from '../peer/peer-client.js';

/** What a member of the group is made from. */
export type ControlGroupOptions = {
	/** Where the other members reach this one, `ip:port`. */
	address: string;
	dataFolder: string;
	/** Whether this is the very first start of the whole system. */
	isFirstStart: boolean;
	/** Members to ask first; may change. */
	readSeeds: () => string[];
	/** How many voters are wanted: 2n + 1 bear the loss of n. */
	voterCount: number;
	machine: StateMachine;
	client: PeerClient;
	clock: Clock;
	times?: ReplicaTimes;
	/**
	 * When this process started, in the clock's ms; a former one can't have acknowledged anything after that. With it, a group
	 * that was killed whole has a leader earlier by the time in which a process loads.
	 */
	processStartedAt?: number;
	onEvent: (kind: string, detail: string) => void;
	onError: (message: string) => void;
};
