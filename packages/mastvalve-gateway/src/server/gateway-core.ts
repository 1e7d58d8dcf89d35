/**
 * Dependencies shared by all requests of a gateway.
 */

import type {Clock} from 'mastvalve-utils';
import type {AccessChecker} from '../access/access-checker.js';
import type {DispatchClient} from '../dispatch/dispatch-client.js';
import type {EndpointLimiter} from '../limits/endpoint-limiter.js';
import type {LimitClient} from '../limits/limit-client.js';
import type {Dialect} from '../dialect.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {HeldBodies} from '../memory/held-bodies.js';
import type {UnreadAnswers} from '../memory/unread-answers.js';
import type {CrashDetector} from '../quarantine/crash-detector.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {CapacityWaiters} from '../requests/capacity-waiters.js';
import type {EndpointTracker} from '../routing/endpoint-tracker.js';
import type {ServiceRetryBudget} from '../routing/service-retry-budget.js';
import type {FirstByteTimes} from '../routing/first-byte-times.js';
import type {ModelDemand} from '../routing/model-demand.js';
import type {StreamOrigins} from '../streams/stream-origins.js';
import type {UpstreamAgent} from '../upstream/upstream-agent.js';
import type {GatewayObserver} from './gateway-observer.js';

/** Logs a decision; the fields hold its grounds. */
export type LogDecision = (kind: string, fields: Record<string, unknown>) => void;

export type GatewayCore = {
	failureDomain: string;
	clock: Clock;
	random: () => number;
	dialect: Dialect;
	view: FleetView;
	tracker: EndpointTracker;
	/** Requests that wait for capacity of endpoints with a limit or a backoff. */
	waiters: CapacityWaiters;
	agent: UpstreamAgent;
	access: AccessChecker;
	limits: LimitClient;
	limiter: EndpointLimiter;
	/** Lets the leader choose engines. */
	dispatch: DispatchClient;
	/** Knows at which release streams began. */
	origins: StreamOrigins;
	retryBudget: ServiceRetryBudget;
	firstByteTimes: FirstByteTimes;
	demand: ModelDemand;
	quarantine: RequestQuarantine;
	crashDetector: CrashDetector;
	unreadAnswers: UnreadAnswers;
	heldBodies: HeldBodies;
	log: LogDecision;
	observer: GatewayObserver;
	/** Whether this entry is shutting down. */
	isDraining: () => boolean;
	/** Called when the shutdown begins. */
	drainListeners: Set<() => void>;
};
