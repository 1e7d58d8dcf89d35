/**
 * Durable storage of one replica: a journal of checksummed records, each synced before the replica responds.
 *
 * The newest `journal-N` is complete: a header, then one record per write. Compaction writes and syncs the next file under
 * a temporary name, renames it, and only then removes the previous one.
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

/** Size below which a journal is not compacted early, bytes: an eighth of the smallest disks in use (64 MB). */
const minCompactionBytes = 8_000_000;
/** Growth since the last compaction at which a journal is compacted, as a factor, so that compaction costs a fixed share of the bytes written. */
const compactionGrowthFactor = 4;

const formatFileName = (fileNumber: number): string => `journal-${fileNumber}`;

const parseFileNumber = (name: string): number => Number(journalPattern.exec(name)?.groups?.number ?? -1);

/** Rebuilds the state of a replica from its writes. */
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

type JournalParts = {
	files: FileSystem;
	file: AppendFile;
	fileNumber: number;
	header: JournalHeader;
	writes: DurableWrite[];
	truncatedBytes: number;
	/** Length of the valid records. */
	sizeBytes: number;
};

/** Open journal of one replica. */
export class Journal {
	/**
	 * Opens the newest journal in a directory and truncates a torn last record. Returns undefined when there is none. Throws a
	 * `StorageError` when the journal is damaged, has a newer format, or belongs to another instance.
	 */
	static async open(files: FileSystem, replica: string): Promise<Journal | undefined> {
		const names = await files.list();
		const fileNumber = Math.max(-1, ...names.map(parseFileNumber));
		if (fileNumber < 0) {
			return undefined;
		}

		const name = formatFileName(fileNumber);
		const content = decodeJournal(name, await files.read(name));
		const header = checkHeader(name, content.header, replica);
		await truncateTornTail(files, name, content);
		await removeOlderFiles(files, names, fileNumber);
		const file = await files.openForAppend(name);
		return new Journal({
			files, file, fileNumber, header, writes: content.writes, truncatedBytes: content.totalBytes - content.validBytes, sizeBytes: content.validBytes,
		});
	}

	/** Creates a journal in an empty directory. */
	static async create(files: FileSystem, header: JournalHeader): Promise<Journal> {
		await files.list();
		const {file, sizeBytes} = await writeJournalFile(files, 0, header, {append: []});
		return new Journal({
			files, file, fileNumber: 0, header, writes: [], truncatedBytes: 0, sizeBytes,
		});
	}

	readonly restored: RestoredState;
	/** Length of the torn last record that was truncated on opening, in bytes. */
	readonly truncatedBytes: number;
	header: JournalHeader;
	private readonly files: FileSystem;
	private file: AppendFile;
	private fileNumber: number;
	private sizeBytes: number;
	/** Size after the last compaction by this process; 0 before it, so that a large journal of an earlier process is compacted soon. */
	private compactedSizeBytes = 0;
	/** Whether a failed write may have left bytes after the last valid record. */
	private mayHaveTornTail = false;

	private constructor(parts: JournalParts) {
		this.files = parts.files;
		this.file = parts.file;
		this.fileNumber = parts.fileNumber;
		this.sizeBytes = parts.sizeBytes;
		this.header = parts.header;
		this.restored = replayWrites(parts.writes);
		this.truncatedBytes = parts.truncatedBytes;
	}

	/** Whether the journal has grown enough that compaction would reduce it substantially. */
	get needsCompaction(): boolean {
		return this.sizeBytes > Math.max(minCompactionBytes, compactionGrowthFactor * this.compactedSizeBytes);
	}

	/**
	 * Makes a write durable. After an error the same write may be retried, and no other write may precede the retry. Bytes
	 * that the failed attempt left after the last valid record are truncated first.
	 */
	async persist(write: DurableWrite): Promise<void> {
		if (write.snapshot) {
			await this.compact(write);
			return;
		}

		if (this.mayHaveTornTail) {
			await this.files.truncate(formatFileName(this.fileNumber), this.sizeBytes);
		}

		const record = encodeRecord(write);
		this.mayHaveTornTail = true;
		await this.file.append(record);
		await this.file.sync();
		this.sizeBytes += record.length;
		this.mayHaveTornTail = false;
	}

	/**
	 * Records which replicated log this replica belongs to, or, without its identity, with which voters it may be formed. Until then, the
	 * journal holds only the replica's identity. After an error it may be called again.
	 */
	async recordCluster(clusterId: string | undefined, initialVoters: string[]): Promise<void> {
		const header = {...this.header, clusterId, initialVoters};
		await this.compact({append: []}, header);
		this.header = header;
	}

	async close(): Promise<void> {
		await this.file.close();
	}

	private async compact(write: DurableWrite, header = this.header): Promise<void> {
		const {file, sizeBytes} = await writeJournalFile(this.files, this.fileNumber + 1, header, write);
		const previous = {file: this.file, name: formatFileName(this.fileNumber)};
		this.file = file;
		this.sizeBytes = sizeBytes;
		this.compactedSizeBytes = sizeBytes;
		this.mayHaveTornTail = false;
		this.fileNumber += 1;
		await previous.file.close();
		await this.files.remove(previous.name);
	}
}

const writeJournalFile = async (files: FileSystem, fileNumber: number, header: JournalHeader, write: DurableWrite): Promise<{file: AppendFile; sizeBytes: number}> => {
	const temporary = `${formatFileName(fileNumber)}.tmp`;
	const names = await files.list();
	if (names.includes(temporary)) {
		await files.remove(temporary);
	}

	const file = await files.openForAppend(temporary);
	const headerRecord = encodeRecord(header);
	const writeRecord = encodeRecord(write);
	try {
		await file.append(headerRecord);
		await file.append(writeRecord);
		await file.sync();
		await files.rename(temporary, formatFileName(fileNumber));
		await files.syncDirectory();
	} catch (error) {
		await file.close();
		throw error;
	}

	return {file, sizeBytes: headerRecord.length + writeRecord.length};
};

const truncateTornTail = async (files: FileSystem, name: string, content: JournalContent): Promise<void> => {
	if (content.validBytes < content.totalBytes) {
		await files.truncate(name, content.validBytes);
	}
};

const removeOlderFiles = async (files: FileSystem, names: string[], fileNumber: number): Promise<void> => {
	const older = names.filter(name => parseFileNumber(name) >= 0 && parseFileNumber(name) < fileNumber);
	await Promise.all(older.map(async name => files.remove(name)));
};
