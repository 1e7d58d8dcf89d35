/**
 * How an engine answers with an event stream, and how it crashes when it begins to write an answer to a crashing request.
 */

import type {Socket} from 'node:net';
import {crashingText, type EngineRun} from './crashing-engines.js';
import {idOf} from './scripted-endpoint.js';

/** Time until the first event, and between two events, ms. */
const firstEventMs = 50;
const eventMs = 40;

/** Header with the number of events of the answer. */
export const eventsHeader = 'x-events';
/** Header of a request that crashes no engine whatever else it holds. */
export const soundHeader = 'x-sound';

const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const writeEvents = (socket: Socket, number: number, count: number): void => {
	if (socket.destroyed) {
		return;
	}

	socket.write(formatChunk(`id: ${number}\ndata: token\n\n`));
	if (number === count) {
		socket.write(formatChunk(''));
		return;
	}

	setTimeout(writeEvents, eventMs, socket, number + 1, count);
};

export const runStream: EngineRun = (socket, text, crash) => {
	const count = Number(/x-events: (?<count>\d+)/iv.exec(text)?.groups?.count ?? 1);
	setTimeout(() => {
		if (socket.destroyed) {
			return;
		}

		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`);
		if (text.includes(crashingText) && !text.includes(soundHeader)) {
			socket.write(formatChunk('id: 1\nda'), () => {
				crash();
			});
		} else {
			writeEvents(socket, 1, count);
		}
	}, firstEventMs);
};
