/**
 * Processes that a scenario starts: mastvalve itself, ended by process id when the scenario is over.
 */

import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** The bundle under test. */
export const program = 'dist/mastvalve.cjs';

/** What a command printed and how it ended. */
export type Finished = {code: number | undefined; stdout: string; stderr: string};

/** One running process. */
export class Child {
	stdout = '';
	stderr = '';
	private readonly process: ChildProcess;
	private readonly ended: Promise<void>;

	constructor(args: readonly string[]) {
		this.process = spawn(process.execPath, [program, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		this.process.stdout?.on('data', (chunk: Uint8Array) => {
			this.stdout += Buffer.from(chunk).toString();
		});
		this.process.stderr?.on('data', (chunk: Uint8Array) => {
			this.stderr += Buffer.from(chunk).toString();
		});
		this.ended = once(this.process, 'close').then(() => undefined);
	}

	get isRunning(): boolean {
		return this.process.exitCode === null && this.process.signalCode === null;
	}

	get exitCode(): number | undefined {
		return this.process.exitCode ?? undefined;
	}

	/** Sends a signal to this process alone. */
	signal(name: NodeJS.Signals): void {
		if (this.isRunning) {
			this.process.kill(name);
		}
	}

	async waitForEnd(): Promise<Finished> {
		await this.ended;
		return {code: this.exitCode, stdout: this.stdout, stderr: this.stderr};
	}

	/** Ends it at once. */
	async kill(): Promise<void> {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		await this.ended;
	}
}

/** Runs a command to its end. */
export const runCommand = async (args: readonly string[]): Promise<Finished> => new Child(args).waitForEnd();
