/**
 * Records of the journal: one line each, a CRC-32 in hex, a space, and JSON.
 *
 * Everything that one write makes durable is one record. So a torn write damages the last record only, and a damaged
 * record with a valid one behind it is never a torn write: storage refuses it rather than guess.
 */

import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {assumeType} from 'mastvalve-utils';
import {StorageError} from 'mastvalve-types';
import type {DurableWrite} from './effects.js';

/** Version of the format; a newer one is refused. */
export const journalFormat = 1;

/** The first record of a journal. */
export type JournalHeader = {
	format: number;
	/** Whose journal this is. */
	replica: string;
	/** The disk part of its identity. */
	disk: string;
	/** Identity of the replicated log, once it is known. */
	clusterId: string | undefined;
	/** Voters with which the log began. */
	initialVoters: string[];
	/** Whether this replica may begin a log; a disk that was empty when the system already ran must join one. */
	mayBegin?: boolean;
};

/** What a journal file holds. */
export type JournalContent = {
	header: JournalHeader | undefined;
	writes: DurableWrite[];
	/** Bytes up to the end of the last whole record. */
	validBytes: number;
	totalBytes: number;
};

const checksumLength = 8;
const newline = 0x0A;

/** Encodes one record. */
export const encodeRecord = (record: JournalHeader | DurableWrite): Uint8Array => {
	const json = Buffer.from(JSON.stringify(record));
	const checksum = crc32(json).toString(16).padStart(checksumLength, '0');
	return Buffer.concat([Buffer.from(`${checksum} `), json, Buffer.from('\n')]);
};

/** Decodes a line without its newline; undefined when it is damaged. */
const decodeLine = (line: Uint8Array): unknown => {
	const checksum = Buffer.from(line.subarray(0, checksumLength)).toString('latin1');
	const json = line.subarray(checksumLength + 1);
	const isWhole = line.length > checksumLength + 1 && crc32(json).toString(16).padStart(checksumLength, '0') === checksum;
	return isWhole ? JSON.parse(Buffer.from(json).toString()) as unknown : undefined;
};

/** Decodes a journal. A damaged tail is left out; damage before a valid record is an error. */
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
