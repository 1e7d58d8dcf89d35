/**
 * Steps for the scanner of event streams: properties over random streams and splits.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {EventStreamScanner} from '../src/index.js';

const lineArbitrary = fc.constantFrom('', '', 'data: a', 'id: 1', ': comment', ':', 'x', 'data:b:c');
/** All lines of a stream end alike: in a mixed one, a CR at the end may or may not be followed by its LF. */
const streamArbitrary = fc.tuple(fc.constantFrom('\n', '\r\n', '\r'), fc.array(lineArbitrary, {maxLength: 12}), lineArbitrary, fc.boolean())
	.map(([lineEnd, lines, last, hasMark]) => `${hasMark ? '\u00EF\u00BB\u00BF' : ''}${[...lines, last].join(lineEnd)}`);

/** What a scanner found in a stream: the offset after its last complete event or comment, the number of events, and whether it may end there. */
type Found = {boundary: number; events: number; isBetweenEvents: boolean};

const scanChunks = (chunks: readonly Uint8Array[]): Found => {
	const scanner = new EventStreamScanner();
	let boundary = 0;
	let offset = 0;
	chunks.forEach(chunk => {
		const end = scanner.scan(chunk);
		boundary = end > 0 ? offset + end : boundary;
		offset += chunk.length;
	});
	return {boundary, events: scanner.events, isBetweenEvents: scanner.isBetweenEvents};
};

/** Parses the whole text by splitting it into lines. */
const parseWhole = (text: string): Omit<Found, 'boundary'> => {
	const lines = text.replace(/^\u00EF\u00BB\u00BF/v, '').split(/\r\n|\n|\r/v);
	const last = lines.pop() ?? '';
	let events = 0;
	let isInside = false;
	lines.forEach(line => {
		events += line === '' && isInside ? 1 : 0;
		isInside = line !== '' && (isInside || !line.startsWith(':'));
	});
	return {events, isBetweenEvents: !isInside && (last === '' || last.startsWith(':'))};
};

Then('for each stream of random lines, comments and line ends, any split into chunks gives the same events and the same end', () => {
	fc.assert(fc.property(streamArbitrary, fc.array(fc.nat({max: 60}), {maxLength: 8}), (text, cuts) => {
		const bytes = Buffer.from(text, 'latin1');
		const offsets = [0, ...cuts.map(cut => Math.min(cut, bytes.length)).toSorted((a, b) => a - b), bytes.length];
		const chunks = offsets.slice(1).map((end, index) => bytes.subarray(offsets[index], end));
		assert.deepEqual(scanChunks(chunks), scanChunks([bytes]));
	}), {numRuns: 2000});
});

Then('for each stream of random lines, comments and line ends, the scanner agrees with a parser of the whole text', () => {
	fc.assert(fc.property(streamArbitrary, text => {
		const {events, isBetweenEvents} = scanChunks([Buffer.from(text, 'latin1')]);
		assert.deepEqual({events, isBetweenEvents}, parseWhole(text));
	}), {numRuns: 2000});
});
