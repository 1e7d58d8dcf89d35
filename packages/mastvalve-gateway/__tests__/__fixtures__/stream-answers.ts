/**
 * Bodies of event streams and the bytes in which an endpoint sends them.
 */

import {Buffer} from 'node:buffer';
import {gzipSync} from 'node:zlib';

/** Longer than what an entry holds back of one event of a resumable stream. */
const longEventBytes = 300_000;

/** What frames a body, and how the connection ends where nothing does. */
export const framings = ['a length', 'chunks', 'nothing, then closes', 'nothing, then resets'] as const;
export type Framing = (typeof framings)[number];

/** Streams that end inside an event. */
export const brokenStreams: Record<string, string> = {
	'inside the data': 'id: 1\ndata: a\n\nid: 2\ndata: b',
	'inside the id': 'id: 1\ndata: a\n\nid: 2',
	'inside a field name': 'id: 1\ndata: a\n\nda',
	'after one of two line feeds': 'id: 1\ndata: a\n\nid: 2\ndata: b\n',
	'after one of two CRLF': 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n',
	'between CR and LF of the last CRLF': 'id: 1\r\ndata: a\r\n\r',
	'after one of two CR': 'id: 1\rdata: a\r\rid: 2\rdata: b\r',
	'before the end of the first event': 'id: 1\ndata: a',
	'inside the first event after a byte order mark': '\u00EF\u00BB\u00BFdata: a\n',
	'after a comment inside an event': 'id: 1\ndata: a\n\ndata: b\n: comment\n',
	'inside an event longer than the buffer': `id: 1\ndata: a\n\ndata: ${'b'.repeat(longEventBytes)}`,
};

/** Streams that end where they may end. */
export const wholeStreams: Record<string, string> = {
	'lines that end with LF': 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
	'lines that end with CRLF': 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n',
	'lines that end with CR': 'id: 1\rdata: a\r\rid: 2\rdata: b\r\r',
	'lines of several kinds': 'id: 1\r\ndata: a\n\nid: 2\rdata: b\n\r\n',
	'a byte order mark': '\u00EF\u00BB\u00BFdata: a\n\n',
	'comments between events': ': one\n\ndata: a\n\n: two\n\n',
	'a comment at the end': 'data: a\n\n: end\n',
	'a comment without a line end': 'data: a\n\n: end',
	'an event longer than the buffer': `id: 1\ndata: ${'a'.repeat(longEventBytes)}\n\n`,
	'an event without data': 'data: a\n\nid: 2\n\n',
	'empty lines at the end': 'data: a\n\n\n\n',
};

/** Splits a body into parts of a size. */
export const splitBody = (body: Uint8Array, size: number): Uint8Array[] =>
	Array.from({length: Math.ceil(body.length / size)}, (_, index) => body.subarray(index * size, (index + 1) * size));

/** How an answer is sent. */
export type AnswerBytes = {id: string; body: Uint8Array; framing: Framing; /** Declares none when empty. */ contentType?: string; status?: string; more?: string};

const formatChunk = (part: Uint8Array): Uint8Array => Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]);

/** Formats an answer: its head and the parts of its body, of at most `size` bytes. */
export const formatParts = ({id, body, framing, contentType = 'text/event-stream', status = '200 OK', more = ''}: AnswerBytes, size: number): Uint8Array[] => {
	const fields = {'a length': `content-length: ${body.length}\r\n`, chunks: 'transfer-encoding: chunked\r\n'};
	const head = Buffer.from(`HTTP/1.1 ${status}\r\nx-id: ${id}\r\n${contentType === '' ? '' : `content-type: ${contentType}\r\n`}${framing === 'a length' || framing === 'chunks' ? fields[framing] : ''}${more}\r\n`);
	const parts = splitBody(body, size);
	return framing === 'chunks' ? [head, ...parts.map(part => formatChunk(part)), Buffer.from('0\r\n\r\n')] : [head, ...parts];
};

export const compress = (body: string): Uint8Array => gzipSync(Buffer.from(body, 'latin1'));
