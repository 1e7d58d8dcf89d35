/**
 * Updates that an entry receives when it follows the fleet.
 */

import type {ConfigurationChange} from '../configuration/configuration-change.js';
import type {QuarantineChange} from '../quarantine/quarantine-change.js';
import type {FeedCursor, FeedPage} from './change-feed.js';
import type {FleetEndpoint} from './fleet-endpoint.js';

/** A follower's position in each feed; missing for a feed that it has not started to read. */
export type FleetCursor = {endpoints?: FeedCursor; configuration?: FeedCursor; quarantine?: FeedCursor};

/** The first page of changes after a follower's cursor in each feed. The feeds advance independently. */
export type FleetUpdate = {
	/** Revision of the state from which the pages were read. */
	revision: number;
	endpoints: FeedPage<FleetEndpoint>;
	configuration: FeedPage<ConfigurationChange>;
	quarantine: FeedPage<QuarantineChange>;
	/** Number of the newest recorded crash of an endpoint; missing from earlier versions. */
	crashCount?: number;
};
