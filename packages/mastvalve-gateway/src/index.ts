/**
 * Gateway: the data path, which serves the requests of callers by route.
 */

export * from './access/access-checker.js';
export * from './dialect.js';
export * from './dispatch/dispatch-client.js';
export * from './endpoint-headers.js';
export * from './fleet/active-configuration.js';
export * from './fleet/demand-reporter.js';
export * from './fleet/fleet-follower.js';
export * from './fleet/source-selector.js';
export * from './fleet/fleet-view.js';
export * from './limits/endpoint-limiter.js';
export type * from './limits/limit-batch.js';
export * from './limits/limit-client.js';
export * from './quarantine/answered-content.js';
export * from './quarantine/control-reporter.js';
export * from './quarantine/crash-detector.js';
export * from './quarantine/probe-listener.js';
export type * from './quarantine/request-content.js';
export * from './quarantine/request-quarantine.js';
export * from './requests/caller-request.js';
export * from './requests/capacity-waiters.js';
export {removeHopByHopHeaders} from './requests/reply.js';
export * from './routing/choose-endpoint.js';
export * from './routing/endpoint-tracker.js';
export * from './routing/forget-gone-endpoints.js';
export * from './routing/first-byte-times.js';
export * from './routing/model-demand.js';
export * from './routing/service-retry-budget.js';
export * from './server/connection-admission.js';
export * from './server/gateway.js';
export * from './server/gateway-node.js';
export type * from './server/gateway-core.js';
export * from './server/gateway-observer.js';
export * from './streams/answer-end.js';
export * from './streams/event-stream-scanner.js';
export * from './streams/stream-origins.js';
export * from './streams/stream-position.js';
export * from './upstream/upstream-agent.js';
