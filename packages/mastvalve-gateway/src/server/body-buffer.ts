/**
 * Collects the bytes of a body in blocks. A list of its parts would take some hundred bytes for each of them, also for parts of one byte.
 */

import {Buffer} from 'node:buffer';

/** Bounds of the size of a block, bytes: most bodies fit into the smallest one, and a long body leaves at most the largest one unused. */
const minBlockBytes = 4096;
const maxBlockBytes = 65_536;

export class BodyBuffer {
	private readonly blocks: Uint8Array[] = [];
	private size = 0;
	/** Bytes of the last block that are used. */
	private used = 0;

	/** Bytes that are kept for the body so far. */
	get capacity(): number {
		return this.blocks.reduce((sum, {length}) => sum + length, 0);
	}

	append(part: Uint8Array): void {
		const block = this.blocks.at(-1);
		const fitting = block ? part.subarray(0, block.length - this.used) : undefined;
		if (block && fitting) {
			block.set(fitting, this.used);
			this.used += fitting.length;
		}

		const rest = part.subarray(fitting?.length ?? 0);
		if (rest.length > 0) {
			this.addBlock(rest);
		}

		this.size += part.length;
	}

	/** Returns the body and forgets it. */
	take(): Uint8Array {
		const {blocks} = this;
		const last = blocks.length - 1;
		const parts = blocks.map((block, index) => (index === last ? block.subarray(0, this.used) : block));
		const body = parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts, this.size);
		this.clear();
		return body;
	}

	clear(): void {
		this.blocks.length = 0;
		this.size = 0;
		this.used = 0;
	}

	/** Begins a block with the rest of a part; the first part, or a large one, is a block by itself. */
	private addBlock(rest: Uint8Array): void {
		const blockBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.size));
		if (this.size === 0 || rest.length >= blockBytes) {
			this.blocks.push(rest);
		} else {
			const block = Buffer.allocUnsafeSlow(blockBytes);
			block.set(rest);
			this.blocks.push(block);
		}

		this.used = rest.length;
	}
}
