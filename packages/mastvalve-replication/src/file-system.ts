/**
 * File operations that storage needs, behind an interface so that tests can make each of them fail.
 */

import {
	open, readdir, readFile, rename, truncate, unlink, mkdir,
} from 'node:fs/promises';
import {join} from 'node:path';

/** Append-only file. */
export type AppendFile = {
	append: (bytes: Uint8Array) => Promise<void>;
	/** Makes all appended bytes durable. */
	sync: () => Promise<void>;
	close: () => Promise<void>;
};

/** Files of one directory, without subdirectories. */
export type FileSystem = {
	/** Lists the file names, creating the directory if it does not exist. */
	list: () => Promise<string[]>;
	read: (name: string) => Promise<Uint8Array>;
	openForAppend: (name: string) => Promise<AppendFile>;
	/** Truncates a file to `size` bytes and syncs it. */
	truncate: (name: string, size: number) => Promise<void>;
	rename: (from: string, to: string) => Promise<void>;
	remove: (name: string) => Promise<void>;
	/** Makes renames and removals durable. */
	syncDirectory: () => Promise<void>;
};

/** Creates a file system for a directory of this instance. */
export const createFileSystem = (directory: string): FileSystem => ({
	async list() {
		await mkdir(directory, {recursive: true});
		return readdir(directory);
	},
	read: async name => readFile(join(directory, name)),
	async openForAppend(name) {
		const handle = await open(join(directory, name), 'a');
		return {
			async append(bytes) {
				await handle.appendFile(bytes);
			},
			sync: async () => handle.datasync(),
			close: async () => handle.close(),
		};
	},
	async truncate(name, size) {
		await truncate(join(directory, name), size);
		const handle = await open(join(directory, name), 'r+');
		await handle.sync();
		await handle.close();
	},
	rename: async (from, to) => rename(join(directory, from), join(directory, to)),
	remove: async name => unlink(join(directory, name)),
	async syncDirectory() {
		const handle = await open(directory, 'r');
		await handle.sync();
		await handle.close();
	},
});
