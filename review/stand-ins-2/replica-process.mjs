/**
 * Starts, kills and restarts a stand-in replica that is a process of its own.
 */

import {fork} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export class ReplicaProcess {
	boots = 0;

	constructor(name, options, {file = 'plain-replica.mjs', onMessage}) {
		Object.assign(this, {
			name, options, file, onMessage,
		});
	}

	start() {
		this.boots += 1;
		this.id = `${this.name}-boot${this.boots}`;
		this.child = fork(fileURLToPath(new URL(this.file, import.meta.url)), {
			env: {PATH: process.env.PATH, REPLICA: JSON.stringify({...this.options, id: this.id})},
			stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
		});
		this.child.on('message', message => {
			this.onMessage(message);
		});
	}

	async kill() {
		if (this.child.exitCode === null && this.child.signalCode === null) {
			this.child.kill('SIGKILL');
			await once(this.child, 'exit');
		}
	}
}
