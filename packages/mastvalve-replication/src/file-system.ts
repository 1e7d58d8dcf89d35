/**
 * The few file effects that storage needs, behind an interface whose every step can be made to fail in tests.
 */

import {
	open, readdir, readFile, rename, truncate, unlink, mkdir,
} from 'node:fs/promises';
import {join} from 'node:path';

/** A file that is only appended to. */
export type AppendFile = {
	append: (bytes: Uint8Array) => Promise<void>;
	/** Durable once this returns. */
	sync: () => Promise<void>;
	close: () => Promise<void>;
};

/** One folder of files, without subfolders. */
export type FileSystem = {
	/** Names in the folder; the folder is made if it isn't there. */
	list: () => Promise<string[]>;
	read: (name: string) => Promise<Uint8Array>;
	openForAppend: (name: string) => Promise<AppendFile>;
	/** Cuts a file to `size` bytes and syncs it. */
	truncate: (name: string, size: number) => Promise<void>;
	rename: (from: string, to: string) => Promise<void>;
	remove: (name: string) => Promise<void>;
	/** Makes renames and removals durable. */
	syncDirectory: () => Promise<void>;
};

/** The files of this machine. */
export const createFileSystem = (folder: string): FileSystem => ({
	async list() {
		await mkdir(folder, {recursive: true});
		return readdir(folder);
	},
	read: async name => readFile(join(folder, name)),
	async openForAppend(name) {
		const handle = await open(join(folder, name), 'a');
		return {
			async append(bytes) {
				await handle.appendFile(bytes);
			},
			sync: async () => handle.datasync(),
			close: async () => handle.close(),
		};
	},
	async truncate(name, size) {
		await truncate(join(folder, name), size);
		const handle = await open(join(folder, name), 'r+');
		await handle.sync();
		await handle.close();
	},
	rename: async (from, to) => rename(join(folder, from), join(folder, to)),
	remove: async name => unlink(join(folder, name)),
	async syncDirectory() {
		const handle = await open(folder, 'r');
		await handle.sync();
		await handle.close();
	},
});
