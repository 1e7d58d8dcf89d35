/**
 * Encoding of journal records: one line each, consisting of a CRC-32 in hex, a space and JSON.
 *
 * Each write is a single record, so a torn write can damage only the last one. A damaged record that is followed by a
 * valid one is therefore corruption, and the journal is refused rather than repaired by guessing.
 */

import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {assumeType} from 'mastvalve-utils';
import {StorageError} from 'mastvalve-types';
import type {DurableWrite} from './effects.js';

/** Version of the journal format; journals with a newer version are refused. */
export const journalFormat = 1;

/** First record of a journal. */
export type JournalHeader = {
	format: number;
	/** Name of the instance that owns the journal. */
	replica: string;
	/** Disk part of the replica's identity. */
	disk: string;
	/** Identity of the replicated log; undefined until the replica has formed or joined one. */
	clusterId: string | undefined;
	/** Voters with which the log was formed; while there is none, those with which this replica may form it, and none before it has chosen them. */
	initialVoters: string[];
	/** Whether this replica may form a new log. A replica whose disk was empty while the system was already running must join the existing one. */
	mayBegin?: boolean;
};

/** Decoded content of a journal file. */
export type JournalContent = {
	header: JournalHeader | undefined;
	writes: DurableWrite[];
	/** Length of the valid records, in bytes. */
	validBytes: number;
	totalBytes: number;
};

const checksumLength = 8;
const newline = 0x0A;

/** Encodes a record as one line, including its newline. */
export const encodeRecord = (record: JournalHeader | DurableWrite): Uint8Array => {
	const json = Buffer.from(JSON.stringify(record));
	const checksum = crc32(json).toString(16).padStart(checksumLength, '0');
	return Buffer.concat([Buffer.from(`${checksum} `), json, Buffer.from('\n')]);
};

/** Decodes a line without its newline. Returns undefined when the line is damaged. */
const decodeLine = (line: Uint8Array): unknown => {
	const checksum = Buffer.from(line.subarray(0, checksumLength)).toString('latin1');
	const json = line.subarray(checksumLength + 1);
	const isIntact = line.length > checksumLength + 1 && crc32(json).toString(16).padStart(checksumLength, '0') === checksum;
	return isIntact ? JSON.parse(Buffer.from(json).toString()) as unknown : undefined;
};

/** Decodes a journal, omitting a damaged tail. Throws a `StorageError` when damage precedes a valid record. */
export const decodeJournal = (name: string, bytes: Uint8Array): JournalContent => {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const records: unknown[] = [];
	let offset = 0;
	let damagedAt: number | undefined;
	while (offset < buffer.length) {
		const end = buffer.indexOf(newline, offset);
		const record = end === -1 ? undefined : decodeLine(buffer.subarray(offset, end));
		if (record === undefined) {
			damagedAt ??= offset;
		} else if (damagedAt === undefined) {
			records.push(record);
		} else {
			throw new StorageError(`${name} is damaged at byte ${damagedAt}, before records that are whole. Nothing was changed. `
				+ 'Move the data folder away and start this instance empty: it rejoins as a learner and copies the log from the others '
				+ '(docs/operations/lost-disk.md).');
		}

		offset = end === -1 ? buffer.length : end + 1;
	}

	const [header, ...writes] = assumeType<[JournalHeader | undefined, ...DurableWrite[]]>(records);
	return {
		header, writes, validBytes: damagedAt ?? buffer.length, totalBytes: buffer.length,
	};
};
