/**
 * Check-ins of a stand-in replica, as PROTOCOL.md tells them under "Service discovery".
 */

import {call, sleep} from './system.mjs';

export class Registration {
	sequence = 0;
	isEnded = false;

	/** `describe` returns the body without `call-seq`. */
	constructor({id, controls, intervalMs = 1200, describe, onAnswer = () => undefined}) {
		Object.assign(this, {
			id, controls, intervalMs, describe, onAnswer,
		});
	}

	/** Sends one check-in, to the next machine if one doesn't acknowledge it. */
	async send() {
		this.sequence += 1;
		const body = {...this.describe(), 'call-seq': this.sequence};
		for (const address of this.controls) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await call({
				address, method: 'PUT', path: `/instances/${this.id}`, body,
			});
			this.onAnswer(address, status);
			if (status >= 200 && status < 300) {
				return true;
			}
		}

		return false;
	}

	async run() {
		while (!this.isEnded) {
			// eslint-disable-next-line no-await-in-loop
			await this.send();
			// eslint-disable-next-line no-await-in-loop
			await sleep(this.intervalMs);
		}
	}
}
