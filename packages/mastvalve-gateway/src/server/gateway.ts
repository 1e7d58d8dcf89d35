/**
 * HTTP server for callers: reads requests, matches their routes, and shuts down without aborting any.
 */

import {setMaxListeners} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {chooseTarget, type CallerLimits} from 'mastvalve-fleet';
import {
	describeError, guardConnections, toMastvalveError, waitFor, type ConnectionFault,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {MastvalveError} from 'mastvalve-types';
import {admitCaller, type Admission} from '../access/admit-caller.js';
import type {ActiveConfiguration} from '../fleet/active-configuration.js';
import {HeldBodies} from '../memory/held-bodies.js';
import {defaultMemoryLimits, type MemoryLimits} from '../memory/memory-limits.js';
import {UnreadAnswers} from '../memory/unread-answers.js';
import type {CallerRequest} from '../requests/caller-request.js';
import {fingerprintSharedParts} from '../requests/fingerprint-parts.js';
import {fingerprintRequest} from '../requests/request-fingerprint.js';
import {Reply, type ProblemAnswer} from '../requests/reply.js';
import {serveRequest} from '../requests/serve-request.js';
import {admitConnections} from './admit-connections.js';
import {ConnectionAdmission, type AdmissionReading} from './connection-admission.js';
import {dropRest} from './drop-rest.js';
import type {GatewayCore} from './gateway-core.js';
import {noopObserver, type GatewayObserver} from './gateway-observer.js';
import {onceClosed} from './once-closed.js';
import {readBody, UnreadBody} from './read-body.js';
import {waitForEvidence, waitUntilSynced} from './wait-for-control.js';

/** Limits until a configuration is in force. Those for headers stay, since Node reads them when the server is created. */
const defaultLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Interval at which connections are checked for late headers, ms: by default they would hold memory and descriptors for half a minute. */
const headerCheckMs = 500;
/** Upper bound of a caller's own deadline, ms. Callers disconnect once theirs has passed. */
const maxDeadlineMs = 120_000;
/** Retry delay while this entry has no configuration, s: another entry can serve the request at once. */
const unsyncedRetrySeconds = 0.5;
/** Retry delay during shutdown, s: the refusal closes the connection, so the next one reaches another entry. */
const stoppingRetrySeconds = 0.05;
const drainPollMs = 50;

/** Retry delay while this entry holds too many request bodies, s: another entry can serve the request at once. */
const noRoomRetrySeconds = 0.2;

/** Dependencies of a gateway. */
export type GatewayDependencies = Omit<GatewayCore, 'isDraining' | 'drainListeners' | 'observer' | 'unreadAnswers' | 'heldBodies'> & {
	memoryLimits?: Partial<MemoryLimits>;
	/** Returns how long the event loop that serves callers has been busy since the start of the process, ms. */
	readBusyMs: () => number;
};

/** The server for callers. */
export class Gateway {
	inFlight = 0;
	isDraining = false;
	/** Whether new requests are still served; the last ones must end before the process is killed. */
	isAccepting = true;
	private server: Server | undefined;
	private readonly stopping = new AbortController();

	private readonly core: GatewayCore;
	private readonly admission: ConnectionAdmission;

	constructor({memoryLimits, readBusyMs, ...dependencies}: GatewayDependencies) {
		// Each body that is being read listens to it.
		setMaxListeners(0, this.stopping.signal);
		const {maxUnreadBytes, maxHeldBodyBytes} = {...defaultMemoryLimits, ...memoryLimits};
		this.core = {
			...dependencies, isDraining: () => this.isDraining, drainListeners: new Set(), observer: noopObserver, unreadAnswers: new UnreadAnswers(maxUnreadBytes), heldBodies: new HeldBodies(maxHeldBodyBytes),
		};
		this.admission = new ConnectionAdmission({
			now: () => dependencies.clock.now(),
			readBusyMs,
			probeDelay(report) {
				const from = dependencies.clock.now();
				setImmediate(() => {
					report(dependencies.clock.now() - from);
				});
			},
		});
	}

	/** What this entry measures of itself, and the rate at which it takes connections. */
	readAdmission(): AdmissionReading {
		return this.admission.read();
	}

	/** Bytes held for answers that their callers do not read at the moment. */
	get unreadBytes(): number {
		return this.core.unreadAnswers.bytes;
	}

	/** Bytes held of request bodies. */
	get heldBodyBytes(): number {
		return this.core.heldBodies.bytes;
	}

	/** Replaces the observer; it receives the events of all later requests. */
	observe(observer: GatewayObserver): void {
		this.core.observer = observer;
	}

	/** Listens on `ip:port`. */
	async start(listen: string): Promise<Result<true, MastvalveError>> {
		const [host, port] = listen.split(':');
		const server = createServer({
			maxHeaderSize: defaultLimits.maxHeaderBytes, headersTimeout: defaultLimits.headerTimeoutMs, requestTimeout: 0, keepAliveTimeout: defaultLimits.idleTimeoutMs, connectionsCheckingInterval: headerCheckMs,
		}, (req, res) => {
			this.inFlight += 1;
			this.admission.recordRequest();
			const closed = new AbortController();
			onceClosed(req, res, () => {
				this.inFlight -= 1;
				this.admission.recordEnd();
				closed.abort();
			});
			this.handle(req, res, closed).catch((error: unknown) => {
				this.core.log('request.failed', {reason: describeError(error)});
				res.destroy();
			});
		});
		this.server = server;
		admitConnections(server, this.admission, this.core);
		guardConnections(server, fault => {
			this.recordFault(fault);
		});
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

	/** Accepts requests for another `acceptMs` with `connection: close`, then resolves once none is in flight. */
	async drain(acceptMs: number): Promise<void> {
		this.isDraining = true;
		[...this.core.drainListeners].forEach(stopWaiting => {
			stopWaiting();
		});
		await waitFor(acceptMs);
		this.isAccepting = false;
		this.stopping.abort();
		this.server?.close();
		this.server?.closeIdleConnections();
		while (this.inFlight > 0) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(drainPollMs);
			this.server?.closeIdleConnections();
		}
	}

	private get limits(): CallerLimits {
		return this.core.view.configuration?.limits ?? defaultLimits;
	}

	private async handle(req: IncomingMessage, res: ServerResponse, closed: AbortController): Promise<void> {
		// The answer before this one has announced that the connection closes.
		if (res.destroyed) {
			return;
		}

		const arrivedAt = this.core.clock.now();
		const reply = new Reply(res);
		if (this.isDraining) {
			res.setHeader('connection', 'close');
		}

		const {remainingMs = maxDeadlineMs} = this.core.dialect.parseCallerHeaders(req.headers);
		const body = await readBody(req, {maxBytes: this.limits.maxBodyBytes, idleMs: this.limits.idleTimeoutMs, totalMs: Math.min(remainingMs, maxDeadlineMs)}, {heldBodies: this.core.heldBodies, signal: closed.signal, stopping: this.stopping.signal});
		if (typeof body === 'string') {
			this.rejectBody(req, res, body);
			return;
		}

		if (!this.isAccepting) {
			this.rejectBody(req, res, UnreadBody.Stopping);
			return;
		}

		await waitUntilSynced(this.core, req, closed.signal);
		await waitForEvidence(this.core, closed.signal);
		if (closed.signal.aborted) {
			return;
		}

		const {configuration, isSynced} = this.core.view;
		if (!configuration || !isSynced) {
			this.recordRefusal(req, 'not-synced');
			reply.send({
				status: 503, code: 'not-synced', message: 'This entry does not know the newest configuration yet. Nothing was run.', retryAfterSeconds: unsyncedRetrySeconds,
			});
			return;
		}

		await this.route(req, reply, closed, {arrivedAt, body, configuration});
	}

	/** Answers a request whose body was not read, or isn't needed. */
	private rejectBody(req: IncomingMessage, res: ServerResponse, reason: UnreadBody): void {
		if (reason === UnreadBody.Broken) {
			return;
		}

		const answers: Record<Exclude<UnreadBody, UnreadBody.Broken>, ProblemAnswer> = {
			[UnreadBody.TooLarge]: {status: 413, code: 'body-too-large', message: `The body is larger than ${this.limits.maxBodyBytes} bytes. Nothing was run.`},
			[UnreadBody.NoRoom]: {
				status: 503, code: 'no-room', message: 'This entry holds too many request bodies. Nothing was run.', retryAfterSeconds: noRoomRetrySeconds,
			},
			[UnreadBody.Stopping]: {
				status: 503, code: 'stopping', message: 'This entry is about to end. Nothing was run.', retryAfterSeconds: stoppingRetrySeconds,
			},
			[UnreadBody.TooSlow]: {status: 408, code: 'body-too-slow', message: 'The body was not whole in time. Nothing was run.'},
		};
		this.recordRefusal(req, reason);
		new Reply(res).send(answers[reason]);
		dropRest(req, res, this.limits.maxBodyBytes);
	}

	private async route(req: IncomingMessage, reply: Reply, closed: AbortController, read: {arrivedAt: number; body: Uint8Array; configuration: ActiveConfiguration}): Promise<void> {
		const {core} = this;
		const path = req.url ?? '/';
		const route = read.configuration.routes.match(req.headers.host ?? '', path.split('?', 1)[0] ?? '/');
		const service = route && chooseTarget(route.targets, core.random());
		const caller = core.dialect.parseCallerHeaders(req.headers);
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

		if (closed.signal.aborted) {
			this.refund(admission);
			return;
		}

		const callerDeadlineAt = read.arrivedAt + Math.min(caller.remainingMs ?? maxDeadlineMs, maxDeadlineMs);
		const deadlineAt = Math.min(callerDeadlineAt, read.arrivedAt + route.timeoutMs);
		const method = req.method ?? 'GET';
		const fingerprint = fingerprintRequest({
			method, host: req.headers.host ?? '', path, caller, body: read.body,
		});
		const request: CallerRequest = {
			requestId: caller.requestId, fingerprint, partFingerprints: fingerprintSharedParts(caller.promptParts), route, service, caller, admission, method, path, headers: req.headers, rawHeaders: req.rawHeaders, body: read.body, arrivedAt: read.arrivedAt, deadlineAt, callerDeadlineAt, signal: closed.signal,
		};
		const timer = setTimeout(() => {
			this.expire(request, reply);
			closed.abort();
		}, Math.max(1, deadlineAt - core.clock.now()));
		closed.signal.addEventListener('abort', () => {
			clearTimeout(timer);
			core.observer.recordRequest(route.kind, reply.finishedStatus, core.clock.now() - read.arrivedAt);
		}, {once: true});
		const mayHaveRun = await serveRequest(core, request, reply);
		if (!mayHaveRun) {
			this.refund(admission);
		}
	}

	/** Records that a caller's connection has failed, with the requests that are unanswered there. */
	private recordFault({code, reason, status, unanswered}: ConnectionFault): void {
		this.core.observer.recordConnectionError(code, unanswered.length > 0);
		this.core.log('connection.failed', {
			code, reason, status, requests: unanswered.map(({headers}) => this.core.dialect.parseCallerHeaders(headers).requestId),
		});
	}

	/** Records a refusal of a request before its route is looked up. */
	private recordRefusal(req: IncomingMessage, reason: string): void {
		this.core.observer.recordRefusal(reason);
		this.core.log('request.refused', {request: this.core.dialect.parseCallerHeaders(req.headers).requestId, reason});
	}

	/** Refunds the workspace's limit for an admitted request that was not run. */
	private refund({workspace, cost}: Admission): void {
		if (workspace && cost > 0) {
			this.core.limits.refundCost(workspace.name, cost);
		}
	}

	/** Ends a request at its deadline: with an error response, or by aborting a stream so that the caller detects the truncation. */
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
