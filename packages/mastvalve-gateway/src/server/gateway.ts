/**
 * The callers' side of an entry: reads requests, finds their routes, and stops without cutting any.
 */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {chooseTarget, type CallerLimits} from 'mastvalve-fleet';
import {describeError, toMastvalveError, waitFor} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {MastvalveError} from 'mastvalve-types';
import {admitCaller, type Admission} from '../access/admit-caller.js';
import type {ActiveConfiguration} from '../fleet/active-configuration.js';
import type {CallerRequest} from '../requests/caller-request.js';
import {fingerprintRequest} from '../requests/request-fingerprint.js';
import {Reply} from '../requests/reply.js';
import {serveRequest} from '../requests/serve-request.js';
import {onceOver} from './caller-presence.js';
import type {GatewayCore} from './gateway-core.js';
import {silentObserver, type GatewayObserver} from './gateway-observer.js';
import {readBody} from './read-request.js';
import {waitForEvidence, waitUntilSynced} from './wait-for-control.js';

/** Bounds until a configuration tells others; those for headers stay, since Node takes them when a server is made. */
const firstLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** A caller whose own deadline has passed is gone; this bounds what it may ask for, ms. */
const maxDeadlineMs = 120_000;
/** Callers go elsewhere at once when this entry knows nothing yet. */
const unsyncedRetrySeconds = 0.5;
/** The connection closes with the refusal, so the caller's next one leads to another entry, s. */
const stoppingRetrySeconds = 0.05;
const drainPollMs = 50;

/** What a gateway is made from. */
export type GatewayParts = Omit<GatewayCore, 'isDraining' | 'drainListeners' | 'observer'>;

/** The server for callers. */
export class Gateway {
	inFlight = 0;
	isDraining = false;
	/** Whether requests are still served; the last ones must end before the process is killed. */
	isTaking = true;
	private server: Server | undefined;

	private readonly core: GatewayCore;

	constructor(parts: GatewayParts) {
		this.core = {
			...parts, isDraining: () => this.isDraining, drainListeners: new Set(), observer: silentObserver,
		};
	}

	/** Tells an observer of all requests from now on. */
	observe(observer: GatewayObserver): void {
		this.core.observer = observer;
	}

	/** Listens on `ip:port`. */
	async start(listen: string): Promise<Result<true, MastvalveError>> {
		const [host, port] = listen.split(':');
		const server = createServer({
			maxHeaderSize: firstLimits.maxHeaderBytes, headersTimeout: firstLimits.headerTimeoutMs, requestTimeout: 0, keepAliveTimeout: firstLimits.idleTimeoutMs,
		}, (req, res) => {
			this.inFlight += 1;
			const ending = new AbortController();
			onceOver(req, res, () => {
				this.inFlight -= 1;
				ending.abort();
			});
			this.handle(req, res, ending).catch((error: unknown) => {
				this.core.log('request.failed', {reason: describeError(error)});
				res.destroy();
			});
		});
		this.server = server;
		this.core.view.subscribe(() => {
			server.keepAliveTimeout = this.limits.idleTimeoutMs;
		});
		return new Promise(resolve => {
			server.once('error', error => {
				resolve(err(toMastvalveError(error)));
			});
			server.listen(Number(port), host, () => {
				resolve(ok(true));
			});
		});
	}

	/** Takes requests for a while still, tells callers to reconnect, and ends when none is in progress. */
	async drain(keepTakingMs: number): Promise<void> {
		this.isDraining = true;
		[...this.core.drainListeners].forEach(stopWaiting => {
			stopWaiting();
		});
		await waitFor(keepTakingMs);
		this.isTaking = false;
		this.server?.close();
		this.server?.closeIdleConnections();
		while (this.inFlight > 0) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(drainPollMs);
			this.server?.closeIdleConnections();
		}
	}

	private get limits(): CallerLimits {
		return this.core.view.configuration?.limits ?? firstLimits;
	}

	private async handle(req: IncomingMessage, res: ServerResponse, ending: AbortController): Promise<void> {
		const arrivedAt = this.core.clock.now();
		const reply = new Reply(res);
		if (this.isDraining) {
			res.setHeader('connection', 'close');
		}

		const body = await readBody(req, this.limits.maxBodyBytes);
		if (body === 'broken') {
			return;
		}

		if (body === 'too-large') {
			res.setHeader('connection', 'close');
			reply.send({status: 413, code: 'body-too-large', message: `The body is larger than ${this.limits.maxBodyBytes} bytes. Nothing was run.`});
			return;
		}

		if (!this.isTaking) {
			reply.send({
				status: 503, code: 'stopping', message: 'This entry is about to end. Nothing was run.', retryAfterSeconds: stoppingRetrySeconds,
			});
			return;
		}

		await waitUntilSynced(this.core, req, ending.signal);
		await waitForEvidence(this.core, ending.signal);
		if (ending.signal.aborted) {
			return;
		}

		const {configuration, isSynced} = this.core.view;
		if (!configuration || !isSynced) {
			reply.send({
				status: 503, code: 'not-synced', message: 'This entry does not know the newest configuration yet. Nothing was run.', retryAfterSeconds: unsyncedRetrySeconds,
			});
			return;
		}

		await this.route(req, reply, ending, {arrivedAt, body, configuration});
	}

	private async route(req: IncomingMessage, reply: Reply, ending: AbortController, read: {arrivedAt: number; body: Uint8Array; configuration: ActiveConfiguration}): Promise<void> {
		const {core} = this;
		const path = req.url ?? '/';
		const route = read.configuration.routes.match(req.headers.host ?? '', path.split('?', 1)[0] ?? '/');
		const service = route && chooseTarget(route.targets, core.random());
		const caller = core.dialect.readCaller(req.headers);
		if (!route || service === undefined) {
			core.log('request.unrouted', {
				request: caller.requestId, host: req.headers.host, path, version: read.configuration.version,
			});
			reply.send({status: 404, code: 'no-route', message: 'No route leads there. Nothing was run.'});
			return;
		}

		if (caller.requestId === undefined) {
			reply.send({status: 400, code: 'no-request-id', message: 'The request has no identity. Nothing was run.'});
			return;
		}

		const admission = await admitCaller(core, {
			requestId: caller.requestId, route, caller, key: core.dialect.readKey(req.rawHeaders),
		}, reply);
		if (!admission) {
			return;
		}

		if (ending.signal.aborted) {
			this.giveBack(admission);
			return;
		}

		const callerDeadlineAt = read.arrivedAt + Math.min(caller.remainingMs ?? maxDeadlineMs, maxDeadlineMs);
		const deadlineAt = Math.min(callerDeadlineAt, read.arrivedAt + route.timeoutMs);
		const method = req.method ?? 'GET';
		const fingerprint = fingerprintRequest({
			method, host: req.headers.host ?? '', path, caller, body: read.body,
		});
		const request: CallerRequest = {
			requestId: caller.requestId, fingerprint, route, service, caller, admission, method, path, headers: req.headers, rawHeaders: req.rawHeaders, body: read.body, arrivedAt: read.arrivedAt, deadlineAt, callerDeadlineAt, signal: ending.signal,
		};
		const timer = setTimeout(() => {
			this.expire(request, reply);
			ending.abort();
		}, Math.max(1, deadlineAt - core.clock.now()));
		ending.signal.addEventListener('abort', () => {
			clearTimeout(timer);
			core.observer.recordRequest(route.kind, reply.finishedStatus, core.clock.now() - read.arrivedAt);
		}, {once: true});
		const mayHaveRun = await serveRequest(core, request, reply);
		if (!mayHaveRun) {
			this.giveBack(admission);
		}
	}

	/** A request that was let in has not run, so its workspace may ask for as much again. */
	private giveBack({workspace, cost}: Admission): void {
		if (workspace && cost > 0) {
			this.core.limits.refundCost(workspace.name, cost);
		}
	}

	/** The time is over: a last answer at once, or a stream that is visibly broken. */
	private expire({requestId, route, arrivedAt}: CallerRequest, reply: Reply): void {
		const ageMs = Math.round(this.core.clock.now() - arrivedAt);
		this.core.log('request.expired', {
			request: requestId, route: route.name, ageMs, hasBegun: reply.hasBegun,
		});
		if (reply.hasBegun) {
			reply.abort();
		} else {
			reply.send({status: 504, code: 'deadline-passed', message: `No answer within ${ageMs} ms. The request may have run.`});
		}
	}
}
