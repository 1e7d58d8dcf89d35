/**
 * The answer to a caller: at most one, whole or visibly broken.
 */

import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/** Headers that concern one connection only. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization']);

/** A flat list of names and values without those of one connection. */
export const removeHopByHopHeaders = (rawHeaders: readonly string[]): string[] => {
	const removed = new Set(hopByHopHeaders);
	rawHeaders.forEach((value, index) => {
		if (index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'connection') {
			value.split(',').forEach(name => {
				removed.add(name.trim().toLowerCase());
			});
		}
	});
	return rawHeaders.filter((_, index) => !removed.has((rawHeaders[index - (index % 2)] ?? '').toLowerCase()));
};

/** An answer of mastvalve's own. */
export type ProblemAnswer = {status: number; code: string; message: string; retryAfterSeconds?: number};

/** One answer. */
export class Reply {
	constructor(private readonly res: ServerResponse) {}

	get hasBegun(): boolean {
		return this.res.headersSent;
	}

	get isClosed(): boolean {
		return this.res.writableEnded || this.res.destroyed;
	}

	/** Status of an answer that was handed over whole; 0 for any other. */
	get finishedStatus(): number {
		return this.res.writableFinished ? this.res.statusCode : 0;
	}

	/** Answers for mastvalve itself. */
	send({status, code, message, retryAfterSeconds}: ProblemAnswer): void {
		if (this.res.headersSent || this.res.destroyed) {
			return;
		}

		const body = JSON.stringify({
			type: 'about:blank', title: code, status, detail: message,
		});
		this.res.writeHead(status, {
			'content-type': 'application/problem+json',
			'content-length': Buffer.byteLength(body),
			...(retryAfterSeconds === undefined ? {} : {'retry-after': String(retryAfterSeconds)}),
		});
		this.res.end(body);
	}

	/** Begins to pass an endpoint's answer on. */
	begin(status: number, statusText: string, rawHeaders: readonly string[]): void {
		this.res.writeHead(status, statusText, removeHopByHopHeaders(rawHeaders));
		this.res.flushHeaders();
	}

	/** Passes bytes on; false when the caller must be waited for. */
	write(chunk: Uint8Array): boolean {
		return this.res.write(chunk);
	}

	onDrain(resume: () => void): void {
		this.res.once('drain', resume);
	}

	end(): void {
		this.res.end();
	}

	/** Breaks the answer off, so that nobody takes it for whole. */
	abort(): void {
		this.res.destroy();
	}
}
