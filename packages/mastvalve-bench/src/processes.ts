/**
 * Real processes of a deployment on loopback, for measurements.
 */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {Program, readSettings, type Settings} from 'mastvalve-settings';

/** The bundle that is measured. */
const program = 'dist/mastvalve.cjs';
const pollMs = 20;
const limitMs = 60_000;

/** Flags that keep a node small; see docs/CAPACITY.md. */
export const smallFlags = ['--max-semi-space-size=1', '--max-old-space-size=40'];

/** Waits until a condition holds. */
export const waitUntil = async (what: string, condition: () => Promise<boolean> | boolean): Promise<void> => {
	const endAt = performance.now() + limitMs;
	while (performance.now() < endAt) {
		// eslint-disable-next-line no-await-in-loop
		if (await Promise.resolve(condition()).catch(() => false)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}

	throw new Error(`waited in vain until ${what}`);
};

/** Different free ports on loopback. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}));
	const ports = servers.map(server => {
		const address = server.address();
		return typeof address === 'object' && address ? address.port : 0;
	});
	servers.forEach(server => {
		server.close();
	});
	return ports;
};

/** Sizes of a deployment to measure. */
export type BenchShape = {controls: number; entries: number; engines: number; services: number; models: number};

/** A settings file for a shape; `ports` has one for each instance and each stand-in. */
const writeSettings = (shape: BenchShape, ports: number[], folder: string): string => {
	const next = (): number => ports.pop() ?? 0;
	const names = {
		controls: Array.from({length: shape.controls}, (_, index) => `control-${index + 1}`),
		entries: Array.from({length: shape.entries}, (_, index) => `entry-${index + 1}`),
	};
	const instance = (name: string, lines: string[]): string =>
		['[[instances]]', `name = "${name}"`, 'failure_domain = "bench"', `listen = "127.0.0.1:${next()}"`, ...lines].join('\n');
	const quote = (list: string[]): string => list.map(name => `"${name}"`).join(', ');
	return [
		'deployment = "bench"\nlog_level = "error"\n[weight_store]\nloads_per_second = 1000\nparallel_loads = 100',
		...names.controls.map(name => instance(name, ['program = "control"', `data_folder = "${join(folder, name)}"`])),
		...names.entries.map(name => instance(name, ['program = "entry"', `upstreams = [${quote(names.controls)}]`])),
		...Array.from({length: shape.engines}, (_, index) => instance(`engine-${index + 1}`, [
			'program = "sidecar"',
			'service = "llm"',
			`upstreams = [${quote(names.entries)}]`,
			`endpoint_url = "http://127.0.0.1:${next()}"`,
			'capacity = 10_000',
			'fenced = true',
		])),
		...Array.from({length: shape.services}, (_, index) => instance(`desk-${index + 1}`, [
			'program = "sidecar"', 'service = "desk"', `upstreams = [${quote(names.entries)}]`, `endpoint_url = "http://127.0.0.1:${next()}"`, 'max_running = 256', 'max_queued = 2000',
		])),
	].join('\n\n');
};

/** An intent with so many models. */
export const createIntentText = (models: number): string =>
	'[[services]]\nname = "llm"\nkind = "model"\n[[services]]\nname = "desk"\nkind = "plain"\nnot_repeated = ["POST /loans"]\n'
	+ `${Array.from({length: models}, (_, index) => `[[models]]\nname = "model-${index}"\nservice = "llm"\nsize = 1\nmin_replicas = 0\n`).join('')}`;

/** Processor time and memory of a process, as the kernel gives them. */
export type ProcessReading = {cpuMs: number; residentKb: number; fileKb: number};

/** Processes of one deployment. */
export class BenchProcesses {
	/** Prepares a deployment; nothing is started yet. */
	static async prepare(shape: BenchShape): Promise<BenchProcesses> {
		const prepared = new BenchProcesses(await mkdtemp(join(tmpdir(), 'mastvalve-bench-')));
		const ports = await findFreePorts(shape.controls + shape.entries + (2 * (shape.engines + shape.services)));
		const text = writeSettings(shape, ports, prepared.folder);
		prepared.settingsFile = join(prepared.folder, 'settings.toml');
		await writeFile(prepared.settingsFile, text);
		prepared.settings = readSettings(prepared.settingsFile, text)._unsafeUnwrap();
		return prepared;
	}

	settings!: Settings;
	settingsFile = '';
	private readonly children = new Map<string, ChildProcess>();

	private constructor(readonly folder: string) {}

	start(name: string, args: readonly string[], flags: readonly string[] = smallFlags): void {
		const child = spawn(process.execPath, [...flags, program, ...args], {stdio: ['ignore', 'ignore', 'inherit']});
		this.children.set(name, child);
	}

	startInstance(name: string, flags?: readonly string[]): void {
		const instance = this.settings.instances.find(candidate => candidate.name === name);
		this.start(name, [instance?.program ?? '', '--settings', this.settingsFile, '--instance', name], flags);
	}

	/** Starts everything and waits until it is ready. */
	async startAll(flags?: readonly string[]): Promise<void> {
		this.settings.instances.forEach(instance => {
			if (instance.program === Program.Sidecar) {
				const listen = instance.endpointUrl.replace('http://', '');
				this.start(`stand-in of ${instance.name}`, instance.capacity > 0
					? ['stand-in', 'engine', '--listen', listen, '--capacity', String(instance.capacity), '--load-ms', '5']
					: ['stand-in', 'service', '--listen', listen], []);
			}

			this.startInstance(instance.name, flags);
		});
		await this.waitUntilReady(this.settings.instances.map(instance => instance.name));
	}

	urlOf(name: string): string {
		return `http://${this.settings.instances.find(instance => instance.name === name)?.listen ?? ''}`;
	}

	async waitUntilReady(names: readonly string[]): Promise<void> {
		await Promise.all(names.map(async name => waitUntil(`${name} is ready`, async () => {
			const res = await fetch(`${this.urlOf(name)}/readyz`);
			return res.ok;
		})));
	}

	async kill(name: string): Promise<void> {
		const child = this.children.get(name);
		if (child?.exitCode === null && child.signalCode === null) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	}

	/** What the kernel says of a process. */
	async read(name: string): Promise<ProcessReading> {
		const pid = this.children.get(name)?.pid ?? 0;
		const [stat, status] = await Promise.all([readFile(`/proc/${pid}/stat`, 'utf8'), readFile(`/proc/${pid}/status`, 'utf8')]);
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const ticks = Number(fields[11]) + Number(fields[12]);
		const field = (label: string): number => Number(new RegExp(String.raw`^${label}:\s+(\d+)`, 'mv').exec(status)?.[1] ?? Number.NaN);
		return {cpuMs: ticks * 10, residentKb: field('VmRSS'), fileKb: field('RssFile')};
	}

	async stop(): Promise<void> {
		await Promise.all([...this.children.keys()].map(async name => this.kill(name)));
		await rm(this.folder, {recursive: true, force: true});
	}
}
