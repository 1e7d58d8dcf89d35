/**
 * Starts the processes of a small deployment from the bundle of the deploy file, each with its own loopback address, and ends them again.
 */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time between two check-ins of a replica, ms. */
export const heartbeatMs = 1200;
/** Bounds of the settings, as on the sheet of katalogix-host. */
const bounds = {
	retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 52, drainMs: 2000, graceMs: 8000, orderLeaseMs: 3000, storeWindowMs: 5000, storeOverage: 1.1,
	keyRevocationMs: 0, limitWindowMs: 0, limitOverage: 0, limitSlack: 0,
	contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine'],
};
const operatorRetryMs = 150;
const startLimitMs = 20_000;

/** Returns ports that are free at this moment. */
const findFreePorts = async count => {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
};

/** Reads the program and its arguments from the `run` line that the roles of the deploy file share. */
const readCommand = () => /^run = "(?<command>[^"]+)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.command.split(' ');

/** What a script writes to `record.txt`, with the time since its start. */
export class Log {
	startedAt = performance.now();

	constructor(path) {
		this.path = path;
		writeFileSync(path, '');
	}

	add(text) {
		appendFileSync(this.path, `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
	}
}

/** One process of the system; it can be started again. */
class SystemProcess {
	constructor({name, settings, folder, log}) {
		Object.assign(this, {
			name, settings, folder, log,
		});
	}

	start(isFirstStart) {
		const settingsPath = path.join(this.folder, `${this.name}.json`);
		writeFileSync(settingsPath, JSON.stringify({...this.settings, isFirstStart}));
		const out = openSync(path.join(this.folder, `${this.name}.log`), 'a');
		const [, ...args] = readCommand();
		this.child = spawn(process.execPath, args, {env: {PATH: process.env.PATH, MASTVALVE_BOOT: settingsPath}, stdio: ['ignore', out, out]});
		this.log.add(`${this.name} starts, isFirstStart ${isFirstStart}`);
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(signal) {
		this.log.add(`${this.name} gets ${signal}`);
		this.child.kill(signal);
	}

	async waitUntilEnded() {
		if (this.isRunning) {
			await once(this.child, 'exit');
		}
	}
}

/** The processes, with the operator's calls. */
export class Deployment {
	/** Starts control instances and entries; bounds are those of the smallest deployment. */
	static async create({controls, entries, log}) {
		const [peer, control, callers, ready, metrics] = await findFreePorts(5);
		const folder = mkdtempSync(path.join(tmpdir(), 'mastvalve-review-'));
		const net = 20 + Math.floor(Math.random() * 200);
		const hosts = Array.from({length: controls + entries}, (_, index) => `127.${net}.${index + 1}.1`);
		const seeds = hosts.slice(0, Math.min(3, controls)).map(host => `${host}:${control}`);
		const processes = hosts.map((host, index) => {
			const isControl = index < controls;
			const name = isControl ? `control-${index + 1}` : `entry-${index + 1 - controls}`;
			const dataFolder = path.join(folder, `data-${name}`);
			mkdirSync(dataFolder);
			return new SystemProcess({
				name,
				folder,
				log,
				settings: {
					...bounds, instance: name, failureDomain: `zone-${(index % 3) + 1}`, address: host, seeds, heartbeatMs, toleratedInstances: Math.floor((controls - 1) / 2),
					callersListen: isControl ? '' : `${host}:${callers}`,
					readinessListen: isControl ? '' : `${host}:${ready}`,
					controlListen: `${host}:${control}`,
					peerPort: peer,
					metricsPort: metrics,
					dataFolder: isControl ? dataFolder : '',
					isLossCounted: isControl,
				},
			});
		});
		return new Deployment({
			processes,
			folder,
			log,
			net,
			controlAddresses: hosts.slice(0, controls).map(host => `${host}:${control}`),
			entryAddresses: hosts.slice(controls).map(host => `${host}:${callers}`),
			readyAddresses: hosts.slice(controls).map(host => `${host}:${ready}`),
		});
	}

	constructor(parts) {
		Object.assign(this, parts);
	}

	find(name) {
		return this.processes.find(each => each.name === name);
	}

	startAll() {
		this.processes.forEach(each => {
			each.start(true);
		});
	}

	/** Returns `ip:port` for a stand-in. */
	async findReplicaAddress(index) {
		const [port] = await findFreePorts(1);
		return {host: `127.${this.net}.100.${index}`, port};
	}

	/** Sends a configuration to one control instance after the other until one acknowledges it; returns whether one did within the time. */
	async configure(configuration, limitMs = startLimitMs) {
		const endAt = performance.now() + limitMs;
		let tries = 0;
		while (performance.now() < endAt) {
			const address = this.controlAddresses[tries % this.controlAddresses.length];
			tries += 1;
			// eslint-disable-next-line no-await-in-loop
			const status = await callControl(address, 'PUT', '/config', configuration);
			if (status === 200) {
				this.log.add(`operator: configuration ${configuration.version} is acknowledged by ${address} after ${tries} calls`);
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(operatorRetryMs);
		}

		this.log.add(`operator: configuration ${configuration.version} is not acknowledged after ${tries} calls in ${limitMs} ms`);
		return false;
	}

	/** Waits until all entries call themselves ready. */
	async waitUntilReady(limitMs = startLimitMs) {
		const endAt = performance.now() + limitMs;
		const isReady = async () => {
			const statuses = await Promise.all(this.readyAddresses.map(async address => callControl(address, 'GET', '/readiness')));
			return statuses.every(status => status === 200);
		};

		while (performance.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop
			if (await isReady()) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(100);
		}

		return false;
	}

	/** Ends all processes and removes the folder. */
	async stop() {
		this.processes.filter(each => each.isRunning).forEach(each => {
			each.child.kill('SIGKILL');
		});
		await Promise.all(this.processes.map(async each => each.waitUntilEnded()));
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Calls a control instance; resolves to the status, or 0 without an answer within a second. */
export const callControl = async (address, method, path, body) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	const req = request({
		host, port, method, path, agent: false, timeout: 1000, headers: text === undefined ? {} : {'content-type': 'application/json', 'content-length': text.length},
	}, res => {
		res.resume();
		resolve(res.statusCode);
	});
	req.once('timeout', () => {
		req.destroy();
	});
	req.on('error', () => {
		resolve(0);
	});
	req.end(text);
});

/** Whether the script brings the disruption about. */
export const hasTrouble = process.env.TROUBLE !== '0';
