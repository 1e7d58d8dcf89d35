/**
 * Options of a member of a control group.
 */

import type {ReplicaTimes, StateMachine} from 'mastvalve-replication';
import type {Clock} from 'mastvalve-utils';
import type {PeerClient} from '../peer/peer-client.js';

export type ControlGroupOptions = {
	/** Address for calls from other members, `ip:port`. */
	address: string;
	dataFolder: string;
	/** Whether this is the first start of the whole system. */
	isFirstStart: boolean;
	/** Returns the addresses of the members to contact first; they may change. */
	readSeeds: () => string[];
	/** Target number of voters: 2n + 1 tolerate the loss of n. */
	voterCount: number;
	machine: StateMachine;
	client: PeerClient;
	clock: Clock;
	times?: ReplicaTimes;
	/**
	 * Start time of this process on the clock, ms; its predecessor can't have acknowledged anything later. After a crash of the
	 * whole group, this shortens the time to the first election by the load time of a process.
	 */
	processStartedAt?: number;
	onEvent: (kind: string, detail: string) => void;
	onError: (message: string) => void;
};
