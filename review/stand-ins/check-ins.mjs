/**
 * The check-ins of a replica.
 */

import {callControl, heartbeatMs} from './deployment.mjs';

export class CheckIns {
	sequence = 0;
	state = {state: 'ready'};

	/** `fields` is what the replica says of itself in each check-in. */
	constructor({id, controls, fields}) {
		Object.assign(this, {id, controls, fields});
	}

	start() {
		this.timer = setInterval(() => {
			this.send();
		}, heartbeatMs);
		this.send();
	}

	stop() {
		clearInterval(this.timer);
	}

	/** Sends one check-in to one control instance after the other until one acknowledges it. */
	async send() {
		this.sequence += 1;
		const body = {
			zone: 'zone-1', version: 'v1', 'cold-left-ms': 0, ...this.fields, ...this.state, 'call-seq': this.sequence,
		};
		const first = Math.floor(Math.random() * this.controls.length);
		const inTurn = this.controls.map((_, index) => this.controls[(first + index) % this.controls.length]);
		return inTurn.reduce(async (before, address) => await before || await callControl(address, 'PUT', `/instances/${this.id}`, body) === 200, Promise.resolve(false));
	}
}
