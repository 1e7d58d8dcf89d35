/**
 * Counters and latency histograms of an entry.
 */

import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {AdmissionReading} from './connection-admission.js';
import type {GatewayObserver} from './gateway-observer.js';

/** Buckets of the latency histograms, s: from a plain call to the longest route. */
const buckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];
/** Buckets of the time that claims take, s: from a round trip to the longest wait at the leader. */
const claimBuckets = [0.002, 0.005, ...buckets];
const msPerSecond = 1000;

/** Current values of a gateway. */
export type GatewayReadings = {readInFlight: () => number; readUnreadBytes: () => number; readBodyBytes: () => number; readAdmission: () => AdmissionReading};

/** Registers the metrics and returns the observer that updates them. */
export const createGatewayMetrics = (registry: Registry, {readInFlight, readUnreadBytes, readBodyBytes, readAdmission}: GatewayReadings): GatewayObserver => {
	const requests = new Histogram({
		name: 'mastvalve_request_seconds', help: 'Time from the first byte of a request to the end of its response', labelNames: ['kind', 'status'], buckets, registers: [registry],
	});
	const attempts = new Counter({
		name: 'mastvalve_attempts_total', help: 'Attempts at endpoints by outcome', labelNames: ['outcome'], registers: [registry],
	});
	const answerEnds = new Counter({
		name: 'mastvalve_answer_ends_total', help: 'Bodies of endpoints\' answers by what frames them, how they ended, and whether a stream ended inside an event or between two', labelNames: ['framing', 'end', 'event'], registers: [registry],
	});
	const streamReturns = new Counter({
		name: 'mastvalve_stream_returns_total', help: 'Streams that callers have come back for, by how the release that began them was proved, or that it was not', labelNames: ['outcome'], registers: [registry],
	});
	const refusals = new Counter({
		name: 'mastvalve_refusals_total', help: 'Requests refused on admission, by reason', labelNames: ['reason'], registers: [registry],
	});
	const quarantined = new Counter({
		name: 'mastvalve_quarantined_refusals_total', help: 'Requests refused since endpoints have crashed under their content or under a part of their prompts', labelNames: ['content'], registers: [registry],
	});
	const connections = new Counter({
		name: 'mastvalve_connections_total', help: 'New connections of callers by whether they were taken, or closed unread since the processor is saturated', labelNames: ['outcome'], registers: [registry],
	});
	const connectionErrors = new Counter({
		name: 'mastvalve_connection_errors_total', help: 'Connections of callers that failed, by the error and by whether requests were unanswered there', labelNames: ['code', 'requests'], registers: [registry],
	});
	const utilization = new Gauge({
		name: 'mastvalve_event_loop_utilization',
		help: 'Share of time in which the event loop was busy when connections last arrived',
		registers: [registry],
		collect() {
			utilization.set(readAdmission().utilization);
		},
	});
	const permits = new Counter({
		name: 'mastvalve_limited_endpoint_requests_total', help: 'Permit requests for endpoints with an announced limit, by outcome', labelNames: ['outcome'], registers: [registry],
	});
	const backoffs = new Counter({
		name: 'mastvalve_endpoint_backoffs_total', help: 'Refusals of endpoints that asked this entry to back off', registers: [registry],
	});
	const waits = new Histogram({
		name: 'mastvalve_model_wait_seconds', help: 'Time that requests waited for a model, an adapter or capacity of an endpoint', labelNames: ['outcome'], buckets, registers: [registry],
	});
	const claims = new Counter({
		name: 'mastvalve_engine_claims_total', help: 'Claims of engines by what the leader decided, or why this entry chose by itself', labelNames: ['decision'], registers: [registry],
	});
	const claimTimes = new Histogram({
		name: 'mastvalve_engine_claim_seconds', help: 'Time that claims of engines took, with their wait at the leader', buckets: claimBuckets, registers: [registry],
	});
	const copies = new Counter({
		name: 'mastvalve_prompt_copies_total', help: 'Copies of prompt parts that the leader decided, by whether this entry knew the source', labelNames: ['outcome'], registers: [registry],
	});
	const copiedTokens = new Counter({
		name: 'mastvalve_prompt_copied_tokens_total', help: 'Prompt tokens that engines were to copy from others instead of reading them', registers: [registry],
	});
	const slowReaders = new Counter({
		name: 'mastvalve_slow_readers_total', help: 'Answers that their callers did not read for a second, and unread ones that were cut off since this entry held too much', labelNames: ['outcome'], registers: [registry],
	});
	const heldBytes = new Gauge({
		name: 'mastvalve_held_bytes',
		help: 'Bytes held for callers and endpoints that do not read: unread answers and request bodies',
		labelNames: ['kind'],
		registers: [registry],
		collect() {
			heldBytes.set({kind: 'unread-answers'}, readUnreadBytes());
			heldBytes.set({kind: 'bodies'}, readBodyBytes());
		},
	});
	const inFlight = new Gauge({
		name: 'mastvalve_in_flight',
		help: 'Requests of callers in progress',
		registers: [registry],
		collect() {
			inFlight.set(readInFlight());
		},
	});
	return {
		recordRequest(kind, status, durationMs) {
			requests.observe({kind, status: String(status)}, durationMs / msPerSecond);
		},
		recordAnswerEnd({framing, end, isInsideEvent}) {
			answerEnds.inc({framing, end, event: isInsideEvent ? 'inside' : 'between'});
		},
		recordStreamReturn(outcome) {
			streamReturns.inc({outcome});
		},
		recordRefusal(reason) {
			refusals.inc({reason});
		},
		recordConnection(isTaken) {
			connections.inc({outcome: isTaken ? 'taken' : 'closed'});
		},
		recordConnectionError(code, hasUnanswered) {
			connectionErrors.inc({code, requests: hasUnanswered ? 'unanswered' : 'none'});
		},
		recordQuarantined(isPart) {
			quarantined.inc({content: isPart ? 'prompt-part' : 'request'});
		},
		recordAttempt(outcome) {
			attempts.inc({outcome});
		},
		recordPermit(hasPermit) {
			permits.inc({outcome: hasPermit ? 'taken' : 'refused'});
		},
		recordBackoff() {
			backoffs.inc();
		},
		recordSlowReader(isCutOff) {
			slowReaders.inc({outcome: isCutOff ? 'cut-off' : 'slow'});
		},
		recordClaim(decision, durationMs) {
			claims.inc({decision});
			claimTimes.observe(durationMs / msPerSecond);
		},
		recordCopy(isSent, tokens) {
			copies.inc({outcome: isSent ? 'sent' : 'unknown-source'});
			copiedTokens.inc(isSent ? tokens : 0);
		},
		recordWait(isServed, durationMs) {
			waits.observe({outcome: isServed ? 'served' : 'refused'}, durationMs / msPerSecond);
		},
	};
};
