/**
 * Tells slow readers, and cuts off answers that are unread for longest when the entry holds too much.
 */

import type {IncomingMessage} from 'node:http';
import {AnswerReader} from '../memory/answer-reader.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import type {Reply} from './reply.js';
import type {RequestProgress} from './request-progress.js';

/** Buffer of a connection to an endpoint, bytes; what an answer holds of it keeps it whole. */
const connectionBufferBytes = 65_536;

/** An endpoint's answer, and the reply that it is relayed to. */
export type RelayedAnswer = {endpointId: string; res: IncomingMessage; reply: Reply};

/** Watches whether the caller reads an answer, until the caller's connection or the answer to it is closed. */
export const watchReader = (core: GatewayCore, request: CallerRequest, progress: RequestProgress, {endpointId, res, reply}: RelayedAnswer): AnswerReader => {
	const readHeldBytes = (): number => connectionBufferBytes + reply.bufferedBytes + res.readableLength + (progress.streamPosition?.heldBytes ?? 0);
	const tell = (kind: string): void => {
		core.log(kind, {
			request: request.requestId, route: request.route.name, workspace: request.admission.workspace?.name, endpoint: endpointId, heldBytes: readHeldBytes(),
		});
	};

	const reader = new AnswerReader({
		unread: core.unreadAnswers,
		readHeldBytes,
		onSlow() {
			core.observer.recordSlowReader(false);
			// One line for each request, so that a caller whose stream is resumed again and again fills no log.
			if (!progress.hasToldSlowReader) {
				progress.hasToldSlowReader = true;
				tell('caller.reads-slowly');
			}
		},
		cutOff() {
			core.observer.recordSlowReader(true);
			tell('caller.cut-off');
			reply.abort();
		},
	});
	request.signal.addEventListener('abort', () => {
		reader.resume();
	}, {once: true});
	return reader;
};
