/**
 * Durable storage of one replica: a journal of checksummed records, synced before anything is answered.
 *
 * The newest `journal-N` holds all: a header, then one record for each write. Compaction writes the next one whole
 * under a temporary name, syncs it, renames it, and only then removes the older.
 */

import {StorageError} from 'mastvalve-types';
import type {DurableWrite} from './effects.js';
import type {AppendFile, FileSystem} from './file-system.js';
import {
	decodeJournal, encodeRecord, journalFormat, type JournalContent, type JournalHeader,
} from './journal-codec.js';
import type {LogEntry} from './log-entry.js';
import type {RestoredState} from './replica-options.js';

const journalPattern = /^journal-(?<number>\d+)$/v;

/** A journal is not compacted for its size below this, bytes: an eighth of the smallest disks met (64 MB). */
const minLargeBytes = 8_000_000;
/** Above that it is large at this many times its size after the last compaction, so that compacting costs a fixed share of what is written. */
const largeFactor = 4;

const formatName = (number: number): string => `journal-${number}`;

const numberOf = (name: string): number => Number(journalPattern.exec(name)?.groups?.number ?? -1);

/** Plays writes back into the state that they left. */
export const replayWrites = (writes: readonly DurableWrite[]): RestoredState =>
	writes.reduce<RestoredState>((state, write) => {
		const kept = write.snapshot
			? []
			: state.entries.filter(entry => entry.index < (write.truncateFrom ?? Number.POSITIVE_INFINITY));
		return {
			hardState: write.hardState ?? state.hardState,
			snapshot: write.snapshot ?? state.snapshot,
			entries: write.truncateFrom === undefined && !write.snapshot ? appendInPlace(state.entries, write.append) : [...kept, ...write.append],
		};
	}, {hardState: {term: 0}, snapshot: undefined, entries: []});

const appendInPlace = (entries: LogEntry[], more: readonly LogEntry[]): LogEntry[] => {
	more.forEach(entry => {
		entries.push(entry);
	});
	return entries;
};

const checkHeader = (name: string, header: JournalHeader | undefined, replica: string): JournalHeader => {
	if (!header) {
		throw new StorageError(`${name} has no whole header. Move the data folder away and start this instance empty (docs/operations/lost-disk.md).`);
	}

	if (header.format > journalFormat) {
		throw new StorageError(`${name} has format ${header.format}, and this mastvalve reads up to ${journalFormat}. Start the newer mastvalve that wrote it. Nothing was changed.`);
	}

	if (header.replica !== replica) {
		throw new StorageError(`${name} belongs to "${header.replica}", and this instance is "${replica}". Set data_folder to this instance's own folder. Nothing was changed.`);
	}

	return header;
};

/** What an open journal consists of. */
type JournalParts = {
	files: FileSystem;
	file: AppendFile;
	number: number;
	header: JournalHeader;
	writes: DurableWrite[];
	truncatedBytes: number;
	/** Bytes of whole records. */
	size: number;
};

/** An open journal. */
export class Journal {
	/** Opens the journal in a folder; undefined when there is none. */
	static async open(files: FileSystem, replica: string): Promise<Journal | undefined> {
		const names = await files.list();
		const number = Math.max(-1, ...names.map(numberOf));
		if (number < 0) {
			return undefined;
		}

		const name = formatName(number);
		const content = decodeJournal(name, await files.read(name));
		const header = checkHeader(name, content.header, replica);
		await cutTornTail(files, name, content);
		await removeOlder(files, names, number);
		const file = await files.openForAppend(name);
		return new Journal({
			files, file, number, header, writes: content.writes, truncatedBytes: content.totalBytes - content.validBytes, size: content.validBytes,
		});
	}

	/** Makes a journal in an empty folder. */
	static async create(files: FileSystem, header: JournalHeader): Promise<Journal> {
		await files.list();
		const {file, size} = await writeWhole(files, 0, header, {append: []});
		return new Journal({
			files, file, number: 0, header, writes: [], truncatedBytes: 0, size,
		});
	}

	readonly restored: RestoredState;
	/** Bytes of a torn last record that were cut. */
	readonly truncatedBytes: number;
	header: JournalHeader;
	private readonly files: FileSystem;
	private file: AppendFile;
	private number: number;
	private size: number;
	/** Size after the last compaction of this life; 0 before it, so that a large journal of a former life is compacted soon. */
	private compactedSize = 0;
	/** Whether a failed write may have left bytes behind the last whole record. */
	private isTailDirty = false;

	private constructor(parts: JournalParts) {
		this.files = parts.files;
		this.file = parts.file;
		this.number = parts.number;
		this.size = parts.size;
		this.header = parts.header;
		this.restored = replayWrites(parts.writes);
		this.truncatedBytes = parts.truncatedBytes;
	}

	/** Whether compacting it would make it much smaller. */
	get needsCompaction(): boolean {
		return this.size > Math.max(minLargeBytes, largeFactor * this.compactedSize);
	}

	/**
	 * Makes a write durable. After an error it may be tried again, and nothing else may be written before: what a failed
	 * try has left behind the last whole record is cut first.
	 */
	async persist(write: DurableWrite): Promise<void> {
		if (write.snapshot) {
			await this.compact(write);
			return;
		}

		if (this.isTailDirty) {
			await this.files.truncate(formatName(this.number), this.size);
		}

		const record = encodeRecord(write);
		this.isTailDirty = true;
		await this.file.append(record);
		await this.file.sync();
		this.size += record.length;
		this.isTailDirty = false;
	}

	/** Records which log this replica belongs to; before that, it holds only its identity. */
	async recordCluster(clusterId: string, initialVoters: string[]): Promise<void> {
		this.header = {...this.header, clusterId, initialVoters};
		await this.compact({append: []});
	}

	async close(): Promise<void> {
		await this.file.close();
	}

	private async compact(write: DurableWrite): Promise<void> {
		const {file, size} = await writeWhole(this.files, this.number + 1, this.header, write);
		const former = {file: this.file, name: formatName(this.number)};
		this.file = file;
		this.size = size;
		this.compactedSize = size;
		this.isTailDirty = false;
		this.number += 1;
		await former.file.close();
		await this.files.remove(former.name);
	}
}

const writeWhole = async (files: FileSystem, number: number, header: JournalHeader, write: DurableWrite): Promise<{file: AppendFile; size: number}> => {
	const temporary = `${formatName(number)}.tmp`;
	const names = await files.list();
	if (names.includes(temporary)) {
		await files.remove(temporary);
	}

	const file = await files.openForAppend(temporary);
	const headerRecord = encodeRecord(header);
	const writeRecord = encodeRecord(write);
	await file.append(headerRecord);
	await file.append(writeRecord);
	await file.sync();
	await files.rename(temporary, formatName(number));
	await files.syncDirectory();
	return {file, size: headerRecord.length + writeRecord.length};
};

const cutTornTail = async (files: FileSystem, name: string, content: JournalContent): Promise<void> => {
	if (content.validBytes < content.totalBytes) {
		await files.truncate(name, content.validBytes);
	}
};

const removeOlder = async (files: FileSystem, names: string[], number: number): Promise<void> => {
	const older = names.filter(name => numberOf(name) >= 0 && numberOf(name) < number);
	await Promise.all(older.map(async name => files.remove(name)));
};
