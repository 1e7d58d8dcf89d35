/**
 * Starts the project's own processes as the deploy file says, on loopback addresses, with settings filled from its template.
 */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../..', import.meta.url));

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Bounds of a small deployment, as SYSTEM.md gives them for the hosted catalogue services. */
export const bounds = {
	'seed-lag-s': 3,
	'reuse-after-s': 2,
	'contact-ms': 3000,
	'ack-ms': 4000,
	'catch-up-s': 4,
	'drain-ms': 2000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-apply-ms': 2000,
	'downgrade-slack-ms': 250,
	'max-stretch-ms': 5000,
	'budget-ratio': 0.2,
	'budget-window-s': 10,
	'budget-slack': 52,
	'recovery-s': 12,
	'pass-ms': 120,
	'retry-after-s': 0,
	'require-fence': true,
	'lease-ms': 3000,
	'thaw-slack-ms': 300,
	'ceiling-window-s': 5,
	'ceiling-overage': 1.1,
};

const lookUp = (fields, name) => name.split('.').reduce((value, key) => value?.[key], fields);

const formatGap = (fields, name, isJson) => {
	const value = name === '.' ? fields : lookUp(fields, name);
	return isJson || (typeof value === 'object' && value !== null) ? JSON.stringify(value) : String(value ?? '');
};

/** Fills the gaps of a template, as DEPLOY.md tells them, but for sections over lists, which the project's template doesn't use. */
const fillTemplate = (template, fields) => template
	.replaceAll(/\{\{#(?<name>[\w.\-]+)\}\}(?<text>.*?)\{\{\/\k<name>\}\}/gv, (_, name, text) => (lookUp(fields, name) ? text : ''))
	.replaceAll(/\{\{\^(?<name>[\w.\-]+)\}\}(?<text>.*?)\{\{\/\k<name>\}\}/gv, (_, name, text) => (lookUp(fields, name) ? '' : text))
	.replaceAll(/\{\{(?<name>[\w.\-]+)(?<json>\|json)?\}\}/gv, (_, name, json) => formatGap(fields, name, json !== undefined));

const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');

/** Returns the run line of a role, split at spaces. */
const readRunLine = role => new RegExp(String.raw`\[roles\.${role}\]\s+run = "(?<run>[^"]+)"`, 'v').exec(deployFile).groups.run.split(' ');

const isFree = async (host, port) => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, host, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** Calls an HTTP address; resolves to the status and body, or to status 0 without an answer. */
export const call = async ({address, method = 'GET', path = '/', headers = {}, body, timeoutMs = 1000}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const text = body === undefined ? undefined : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
	const req = request({
		host, port, method, path, agent: false, timeout: timeoutMs, headers: {...headers, ...(text ? {'Content-Type': 'application/json', 'Content-Length': text.length} : {})},
	});
	req.once('timeout', () => {
		req.destroy();
	});
	req.on('error', () => {
		resolve({status: 0, body: ''});
	});
	req.once('response', res => {
		const chunks = [];
		res.on('data', chunk => chunks.push(chunk));
		res.once('close', () => {
			resolve({status: res.complete ? res.statusCode : 0, body: Buffer.concat(chunks).toString(), headers: res.headers});
		});
	});
	req.end(text);
});

/** One process of the system. */
class SystemProcess {
	constructor(name, role, {settingsPath, log}) {
		this.name = name;
		this.role = role;
		this.settingsPath = settingsPath;
		this.log = log;
	}

	start() {
		const [program, ...args] = readRunLine(this.role);
		const out = openSync(this.log, 'a');
		this.child = spawn(program, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, MASTVALVE_BOOT: this.settingsPath}, stdio: ['ignore', out, out]});
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		this.child.kill(name);
	}

	async end() {
		if (!this.isRunning) {
			return;
		}

		this.child.kill('SIGCONT');
		this.child.kill('SIGKILL');
		await once(this.child, 'exit');
	}
}

/** A small deployment: some machines of the core with disks, and some that take the callers' channels. */
export class System {
	processes = [];

	constructor({cores = 3, fronts = 1} = {}) {
		const net = 20 + Math.floor(Math.random() * 200);
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.hosts = {
			core: Array.from({length: cores}, (_, index) => `127.${net}.1.${index + 1}`),
			front: Array.from({length: fronts}, (_, index) => `127.${net}.2.${index + 1}`),
		};
		this.net = net;
		const port = 20_000 + Math.floor(Math.random() * 8000);
		this.ports = {
			front: port, ready: port + 1, control: port + 2, replica: port + 3, peer: port + 10,
		};
	}

	get controlAddresses() {
		return this.hosts.core.map(host => `${host}:${this.ports.control}`);
	}

	get frontAddresses() {
		return this.hosts.front.map(host => `${host}:${this.ports.front}`);
	}

	replicaAddress(index) {
		return `127.${this.net}.3.${index}:${this.ports.replica}`;
	}

	/** Starts all processes with empty disks. */
	async start() {
		const checks = await Promise.all([...this.hosts.core, ...this.hosts.front].map(async host => isFree(host, this.ports.peer)));
		if (checks.includes(false)) {
			throw new Error('a port is taken');
		}

		this.hosts.core.forEach((host, index) => {
			this.add(`core-${index + 1}`, 'control', host, {control: `${host}:${this.ports.control}`});
		});
		this.hosts.front.forEach((host, index) => {
			this.add(`front-${index + 1}`, 'entry', host, {
				front: `${host}:${this.ports.front}`, ready: `${host}:${this.ports.ready}`, control: `${host}:${this.ports.control}`,
			});
		});
		this.processes.forEach(each => {
			each.start();
		});
	}

	find(name) {
		return this.processes.find(each => each.name === name);
	}

	add(name, role, host, listen) {
		const isCore = role === 'control';
		const dataFolder = path.join(this.folder, name);
		mkdirSync(dataFolder);
		const fields = {
			'node-name': name,
			role,
			'machine-class': isCore ? 'core' : 'front',
			ip: host,
			zone: 'hala-a',
			region: 'pl-central',
			zones: {'hala-a': 'pl-central'},
			listen,
			'port-range': [this.ports.peer, this.ports.peer + 15],
			seeds: this.controlAddresses.slice(0, 3),
			bootstrap: true,
			'loss-counted': isCore,
			'data-dir': isCore ? dataFolder : null,
			'beat-interval-ms': 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine'],
			'fault-tolerance': {machines: Math.floor((this.hosts.core.length - 1) / 2), zones: 0, regions: 0},
			bounds,
			'config-mode': 'highest',
		};
		const settingsPath = path.join(this.folder, `${name}.json`);
		const each = new SystemProcess(name, role, {settingsPath, log: path.join(this.folder, `${name}.log`)});
		each.write = changes => {
			writeFileSync(settingsPath, fillTemplate(readFileSync(path.join(root, 'deploy/process.json'), 'utf8'), {...fields, ...changes}));
		};

		each.write({});
		this.processes.push(each);
	}

	/** Sends a configuration until it is acknowledged, to one machine of the core after the other. */
	async configure(configuration, deadlineMs = 20_000) {
		const endAt = performance.now() + deadlineMs;
		let turn = 0;
		while (performance.now() < endAt) {
			const address = this.controlAddresses[turn % this.controlAddresses.length];
			turn += 1;
			// eslint-disable-next-line no-await-in-loop
			const {status} = await call({
				address, method: 'PUT', path: '/config', body: configuration, timeoutMs: 3000,
			});
			if (status === 200) {
				return address;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(200);
		}

		throw new Error('no configuration was acknowledged');
	}

	/** Waits until all machines that take callers say that they are ready. */
	async waitUntilReady(deadlineMs = 15_000) {
		const endAt = performance.now() + deadlineMs;
		while (performance.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await Promise.all(this.hosts.front.map(async host => call({address: `${host}:${this.ports.ready}`, path: '/readiness'})));
			if (answers.every(({status}) => status === 200)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(100);
		}

		throw new Error('the system did not become ready');
	}

	/** Ends all processes and removes their folder. */
	async end() {
		await Promise.all(this.processes.map(async each => each.end()));
		if (process.env.KEEP !== '1') {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}
