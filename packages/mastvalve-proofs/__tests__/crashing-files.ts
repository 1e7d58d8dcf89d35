/**
 * Files that lose what was not synced.
 */

import {Buffer} from 'node:buffer';
import type {AppendFile, FileSystem} from 'mastvalve-replication';

/** A folder in memory: what isn't synced is lost in a crash, and every effect can be the last. */
export class CrashingFiles implements FileSystem {
	effectsLeft = Number.POSITIVE_INFINITY;
	private readonly renamed = new Map<string, string>();
	private durable = new Map<string, Uint8Array>();
	private volatile = new Map<string, Uint8Array>();

	constructor(private readonly doesSync: boolean, private readonly tornShare: number) {}

	/** The machine stops: renames that weren't synced and bytes that weren't are gone, but for part of the last write. */
	crash(): void {
		this.volatile = new Map([...this.durable].map(([name, bytes]) => {
			const written = this.volatile.get(name) ?? bytes;
			const torn = Math.floor((written.length - bytes.length) * this.tornShare);
			return [name, written.slice(0, bytes.length + Math.max(0, torn))];
		}));
		this.durable = new Map(this.volatile);
		this.renamed.clear();
		this.effectsLeft = Number.POSITIVE_INFINITY;
	}

	async list(): Promise<string[]> {
		return [...this.volatile.keys()];
	}

	async read(name: string): Promise<Uint8Array> {
		return this.volatile.get(name) ?? new Uint8Array();
	}

	async openForAppend(name: string): Promise<AppendFile> {
		this.volatile.set(name, this.volatile.get(name) ?? new Uint8Array());
		let current = name;
		const find = (): string => {
			current = this.renamed.get(current) ?? current;
			return current;
		};

		return {
			append: async bytes => {
				this.spend();
				this.volatile.set(find(), Buffer.concat([this.volatile.get(find()) ?? new Uint8Array(), bytes]));
			},
			sync: async () => {
				this.spend();
				if (this.doesSync) {
					this.durable.set(find(), this.volatile.get(find()) ?? new Uint8Array());
				}
			},
			close: async () => undefined,
		};
	}

	async truncate(name: string, size: number): Promise<void> {
		this.spend();
		const bytes = (this.volatile.get(name) ?? new Uint8Array()).subarray(0, size);
		this.volatile.set(name, bytes);
		this.durable.set(name, bytes);
	}

	async rename(from: string, to: string): Promise<void> {
		this.spend();
		this.renamed.set(from, to);
		this.volatile.set(to, this.volatile.get(from) ?? new Uint8Array());
		this.volatile.delete(from);
	}

	async remove(name: string): Promise<void> {
		this.spend();
		this.volatile.delete(name);
	}

	async syncDirectory(): Promise<void> {
		this.spend();
		if (this.doesSync) {
			this.durable = new Map([...this.volatile].map(([name, bytes]) => {
				const original = [...this.renamed].findLast(([, to]) => to === name)?.[0];
				return [name, this.durable.get(name) ?? (original === undefined ? undefined : this.durable.get(original)) ?? bytes.subarray(0, 0)];
			}));
		}
	}

	private spend(): void {
		this.effectsLeft -= 1;
		if (this.effectsLeft < 0) {
			throw new Error('the machine stops here');
		}
	}
}
