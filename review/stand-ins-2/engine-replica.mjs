/**
 * A stand-in model replica, as PROTOCOL.md tells it under "Requests", "Replicas" and "Model placement". It takes every order that the protocol
 * lets it take, and notes each load that is beyond its memory or its places for adapters.
 */

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {Registration} from './registration.mjs';

const readBody = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

export class EngineReplica {
	orders = 0;
	isBusy = false;
	fence = 0;
	/** Loads beyond the capacity. */
	violations = [];
	/** Adapters by model. */
	holds = new Map();
	/** Number of requests that run, by adapter. */
	runs = new Map();

	/** `engine` is the part of the configuration that tells the capacity and the models. */
	constructor({id, service, address, controls, engine, models, record, version = 'v1'}) {
		Object.assign(this, {
			id, service, address, controls, engine, record, version,
		});
		models.forEach(name => {
			this.holds.set(name, new Set());
		});
		this.onDisk = [...models];
	}

	get usedMb() {
		return [...this.holds].reduce((sum, [name, adapters]) => sum + this.specOf(name)['weights-mb'] + (adapters.size * this.specOf(name)['adapter-mb']), 0);
	}

	get adapterCount() {
		return [...this.holds.values()].reduce((sum, adapters) => sum + adapters.size, 0);
	}

	specOf(name) {
		return this.engine.models.find(model => model.name === name);
	}

	describeModels() {
		return [...this.holds].map(([name, adapters]) => ({name, version: 1, adapters: [...adapters]}));
	}

	async start() {
		const [host, port] = this.address.split(':');
		this.server = createServer((req, res) => {
			this.handle(req, res);
		});
		await new Promise(resolve => {
			this.server.listen(Number(port), host, resolve);
		});
		this.registration = new Registration({
			id: this.id, controls: this.controls, describe: () => ({
				service: this.service,
				address: this.address,
				zone: 'hala-a',
				version: this.version,
				slots: this.engine.slots,
				state: 'ready',
				'cold-left-ms': 0,
				stage: 'colocated',
				models: this.describeModels(),
				available: {'in-memory': [], 'on-disk': this.onDisk},
			}),
		});
		this.registration.run();
	}

	stop() {
		this.registration.isEnded = true;
		this.server.close();
		this.server.closeAllConnections();
	}

	async handle(req, res) {
		const text = await readBody(req);
		const answer = (status, body, headers = {}) => {
			const bytes = typeof body === 'string' ? body : JSON.stringify(body ?? {});
			res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(bytes), ...headers});
			res.end(bytes);
		};

		const expected = req.headers['expect-instance'];
		const attempt = req.headers['attempt-id'];
		const identity = {'Instance-Id': this.id, ...(attempt === undefined ? {} : {'Attempt-Id': attempt})};
		if (expected !== undefined && expected !== this.id) {
			answer(421, '', {...identity, 'Not-Executed': '1'});
			return;
		}

		switch (req.url) {
			case '/health': {
				answer(200, '', identity);

				break;
			}

			case '/report': {
				answer(200, {
					stage: 'colocated',
					models: this.describeModels(),
					busy: this.isBusy,
					'call-seq': this.orders,
					queued: 0,
					active: 0,
					'kv-used': 0,
					'kv-total': this.engine['kv-capacity'],
					handles: 0,
					available: {'in-memory': [], 'on-disk': this.onDisk},
					pending: [],
				});

				break;
			}

			case '/order': {
				const order = JSON.parse(text);
				const status = this.take(order);
				this.record.add('order', {
					replica: this.id, ...order, status, usedMb: this.usedMb,
				});
				answer(status, '');

				break;
			}

			default: {
				this.serve(req, res, {attempt, identity, answer});
			}
		}
	}

	serve(req, res, {attempt, identity, answer}) {
		const [model, adapter] = String(req.headers.model).split('/');
		const adapters = this.holds.get(model);
		if (!adapters || (adapter !== undefined && !adapters.has(adapter))) {
			answer(421, '', {...identity, 'Not-Executed': '1'});
			return;
		}

		const name = req.headers.model;
		this.record.add('replica runs', {replica: this.id, attempt, model: name});
		this.runs.set(name, (this.runs.get(name) ?? 0) + 1);
		res.writeHead(200, {...identity, 'Response-Stamp': `${this.id}.${attempt}`, 'Content-Type': 'text/event-stream'});
		let index = 0;
		const timer = setInterval(() => {
			res.write(`id: ${index}\ndata: ${attempt} ${index}\n\n`);
			index += 1;
			if (index === 5) {
				clearInterval(timer);
				res.end();
			}
		}, 30);
		res.once('close', () => {
			clearInterval(timer);
			this.runs.set(name, this.runs.get(name) - 1);
		});
	}

	/** Takes an order; returns the status of its answer. */
	take({operation, model, adapter, holder, fence, 'expected-count': expectedCount}) {
		if (holder === undefined || fence === undefined || !this.specOf(model)) {
			return 400;
		}

		if (fence < this.fence) {
			return 412;
		}

		if (this.isBusy || (expectedCount !== undefined && expectedCount !== this.orders)) {
			return 409;
		}

		this.fence = fence;
		return operation === 'load' ? this.load(model, adapter) : this.unload(model, adapter);
	}

	load(model, adapter) {
		const spec = this.specOf(model);
		const held = this.holds.get(model);
		if (adapter === undefined ? held : held?.has(adapter)) {
			return 200;
		}

		if (adapter !== undefined && !held) {
			return 400;
		}

		this.orders += 1;
		const sizeMb = adapter === undefined ? spec['weights-mb'] : spec['adapter-mb'];
		if (this.usedMb + sizeMb > this.engine['weights-mb'] || (adapter !== undefined && this.adapterCount + 1 > this.engine['adapter-slots'])) {
			const name = adapter === undefined ? model : `${model}/${adapter}`;
			const room = `it has ${this.engine['weights-mb']} MB and ${this.engine['adapter-slots']} places`;
			this.violations.push(`${this.id} was ordered to load ${name} of ${sizeMb} MB beside ${this.usedMb} MB and ${this.adapterCount} adapters; ${room}`);
		}

		if (adapter !== undefined) {
			held.add(adapter);
			return 202;
		}

		this.isBusy = true;
		setTimeout(() => {
			this.isBusy = false;
			this.holds.set(model, new Set());
			this.onDisk = [...new Set([...this.onDisk, model])];
			this.registration.send();
		}, spec[this.onDisk.includes(model) ? 'disk-load-s' : 'load-time-s'] * 1000);
		return 202;
	}

	unload(model, adapter) {
		const held = this.holds.get(model);
		if (adapter === undefined ? !held : !held?.has(adapter)) {
			return 200;
		}

		this.orders += 1;
		if (adapter !== undefined) {
			return this.unloadAdapter(held, model, adapter);
		}

		this.holds.delete(model);
		this.registration.send();
		return 202;
	}

	/** An adapter that no request uses goes at once, another one when its runs have ended. */
	unloadAdapter(held, model, adapter) {
		if ((this.runs.get(`${model}/${adapter}`) ?? 0) === 0) {
			held.delete(adapter);
			return 200;
		}

		setTimeout(() => {
			held.delete(adapter);
		}, 200);
		return 202;
	}
}
