/**
 * What an entry gets when it follows the fleet.
 */

import type {ConfigurationChange} from '../configuration/configuration-change.js';
import type {QuarantineChange} from '../quarantine/quarantine-change.js';
import type {FeedCursor, FeedPage} from './change-feed.js';
import type {FleetEndpoint} from './fleet-endpoint.js';

/** How far a follower has read; nothing of what it hasn't begun. */
export type FleetCursor = {endpoints?: FeedCursor; configuration?: FeedCursor; quarantine?: FeedCursor};

/** The changes behind a follower's place, or the first part of them. None waits for the others. */
export type FleetUpdate = {
	/** Revision of the state that this part was taken from. */
	revision: number;
	endpoints: FeedPage<FleetEndpoint>;
	configuration: FeedPage<ConfigurationChange>;
	quarantine: FeedPage<QuarantineChange>;
};
