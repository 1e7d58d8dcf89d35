/**
 * Decides what the connections of a server get for bytes that can't be read as requests, or that don't come in time.
 *
 * Node's HTTP server answers these by itself, also while requests of the connection are unanswered: their sender takes such a status for the answer
 * to the oldest of them, and 408 promises that it was not run. Here an unanswered request goes before all that follows it: it is answered first,
 * and then the connection is closed.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {describeError} from './errors.js';

/** A connection that failed, or whose bytes can't be read as requests. */
export type ConnectionFault = {
	/** Address of the sender, `ip:port`; `unknown` if its connection was already closed. */
	peer: string;
	/** Code of the error, as Node's HTTP server names it. */
	code: string;
	reason: string;
	/** Status that was sent for it; 0 if none was. */
	status: number;
	/** Whole requests of the connection that are unanswered. */
	unanswered: IncomingMessage[];
};

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Beginning of the codes of bytes that the parser can't read. */
const parserPrefix = 'HPE_';
const tunnelCode = 'CONNECT';
/** Bytes that are read and dropped behind an unanswered request, before its connection is closed. Reading on shows when its sender leaves. */
const maxDroppedBytes = 65_536;
/** Time for the sender to read the last answer, ms: closing with unread bytes resets the connection, which may cost the answer. */
const lingerMs = 500;

const badRequestStatus = 400;
const connectionField = 'connection';
const closeToken = 'close';
const statuses = new Map([[timeoutCode, 408], ['HPE_HEADER_OVERFLOW', 431], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413], [tunnelCode, 405]]);

const formatAnswer = (status: number): string => `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;

/** A connection with its unanswered requests. */
class GuardedConnection {
	private readonly unanswered = new Map<ServerResponse, IncomingMessage>();
	private readableBytes = Number.POSITIVE_INFINITY;
	private isClosing = false;
	private readonly peer: string;

	constructor(private readonly socket: Socket) {
		const {remoteAddress, remotePort} = socket;
		this.peer = remoteAddress === undefined ? 'unknown' : `${remoteAddress}:${remotePort}`;
	}

	/** Adds a request; the connection is closed behind its answer if nothing more is read from it. */
	add(req: IncomingMessage, res: ServerResponse): void {
		this.leaveCloseTo(res);
		this.unanswered.set(res, req);
		res.once('close', () => {
			this.unanswered.delete(res);
			if (this.isClosing && this.unanswered.size === 0) {
				this.close();
			}
		});
	}

	/** Handles an error; returns what it comes to, or undefined if it only repeats the last one. */
	handle(error: NodeJS.ErrnoException): ConnectionFault | undefined {
		const code = error.code ?? 'unknown';
		const isRepeated = this.isClosing;
		const fault = (status: number): ConnectionFault | undefined => (isRepeated && this.socket.writable
			? undefined
			: {
				peer: this.peer, code, reason: describeError(error), status, unanswered: [...this.unanswered.values()].filter(({complete}) => complete),
			});
		// A sender that has ended its side has left: its requests are cancelled with the connection.
		if (!this.isReadError(code) || this.hasLeft || this.socket.bytesRead > this.readableBytes) {
			const last = fault(0);
			this.socket.destroy();
			return last;
		}

		if (code !== timeoutCode) {
			this.readableBytes = Math.min(this.readableBytes, this.socket.bytesRead + maxDroppedBytes);
		}

		return fault(this.unanswered.size > 0 ? this.closeBehindAnswers(code) : this.reject(code));
	}

	/**
	 * Lets only the newest answer announce that the connection closes: Node closes it behind the answer that does, whatever is unanswered. A request
	 * behind an answer that has announced it already isn't served.
	 */
	private leaveCloseTo(res: ServerResponse): void {
		const closing = [...this.unanswered.keys()].filter(earlier => earlier.getHeader(connectionField) === closeToken);
		if (closing.some(({headersSent}) => headersSent)) {
			res.destroy();
			return;
		}

		closing.forEach(earlier => {
			earlier.removeHeader(connectionField);
			res.setHeader(connectionField, closeToken);
		});
	}

	private get hasLeft(): boolean {
		return this.socket.readableEnded || !this.socket.writable;
	}

	private isReadError(code: string): boolean {
		return code === timeoutCode || code === tunnelCode || code.startsWith(parserPrefix);
	}

	/** Answers bytes behind which nothing is unanswered. */
	private reject(code: string): number {
		const hasSent = this.socket.bytesRead > 0;
		const status = statuses.get(code) ?? badRequestStatus;
		if (hasSent) {
			this.socket.write(formatAnswer(status));
		}

		this.close();
		return hasSent ? status : 0;
	}

	/** Lets the connection end behind the answers that are due. */
	private closeBehindAnswers(code: string): number {
		this.isClosing = true;
		const [res, req] = [...this.unanswered].at(-1) ?? [];
		// Only the newest request can have a body that isn't whole yet; it is rejected in its turn, since its rest can't be read.
		if (code !== timeoutCode && res && !res.headersSent) {
			res.setHeader(connectionField, closeToken);
			if (req?.complete === false) {
				res.writeHead(badRequestStatus, {'content-length': 0});
				res.end();
				return badRequestStatus;
			}
		}

		return 0;
	}

	/** Closes the connection once all that was written has been sent. */
	private close(): void {
		this.isClosing = true;
		if (this.readableBytes === Number.POSITIVE_INFINITY) {
			this.socket.destroySoon();
			return;
		}

		this.socket.end();
		const timer = setTimeout(() => {
			this.socket.destroy();
		}, lingerMs);
		this.socket.once('close', () => {
			clearTimeout(timer);
		});
	}
}

/** Describes a fault in one line, for logs without fields of their own. */
export const describeConnectionFault = ({peer, code, reason, status, unanswered}: ConnectionFault): string => {
	const calls = unanswered.map(({method, url}) => `${method} ${url}`).join(', ');
	return `connection of ${peer} failed: ${code}, ${reason}; answered with ${status === 0 ? 'nothing' : status}${calls === '' ? '' : ` behind ${calls}`}`;
};

/** Drops what follows a request to open a tunnel: Node leaves such a connection to its listener. */
const dropRest = (socket: Socket, onBytes: () => void): void => {
	socket.on('error', () => undefined);
	socket.on('data', onBytes);
	socket.once('end', () => {
		socket.destroy();
	});
	socket.resume();
};

/** Guards all connections of a server; `onFault` is called for each that fails. */
export const guardConnections = (server: Server, onFault: (fault: ConnectionFault) => void): void => {
	const connections = new WeakMap<Socket, GuardedConnection>();
	const find = (socket: Socket): GuardedConnection => {
		const connection = connections.get(socket) ?? new GuardedConnection(socket);
		connections.set(socket, connection);
		return connection;
	};

	const handle = (socket: Socket, error: NodeJS.ErrnoException): void => {
		const fault = find(socket).handle(error);
		if (fault) {
			onFault(fault);
		}
	};

	// By default the parser drops the fields beyond 2000 silently, the length of the body among them.
	server.maxHeadersCount = 0;
	server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
		find(req.socket).add(req, res);
	});
	// An expectation that isn't known is no reason to reject a request.
	server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
		server.emit('request', req, res);
	});
	server.on('connect', (_req: IncomingMessage, socket: Socket) => {
		const refuse = (): void => {
			handle(socket, Object.assign(new Error('a request to open a tunnel'), {code: tunnelCode}));
		};

		dropRest(socket, refuse);
		refuse();
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		handle(socket, error);
	});
};
