/**
 * A whole deployment as separate processes, from a settings file whose ports are made free ones.
 */

import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assumeType} from 'mastvalve-utils';
import {
	Program, readSettings, type Instance, type Settings, type SidecarInstance,
} from 'mastvalve-settings';
import {Child, runCommand, type Finished} from './child.js';
import {waitUntil} from './conditions.js';
import {remapPorts} from './free-ports.js';

/** Limits for a deployment that a scenario starts. */
export type DeploymentOptions = {
	/** Whether model engines check tokens. */
	fenced?: boolean;
	/** Time that a load takes, ms. */
	loadMs?: number;
};

/** A running deployment. */
export class Deployment {
	readonly children = new Map<string, Child>();
	settings!: Settings;
	settingsFile = '';
	private folder = '';

	constructor(private readonly options: DeploymentOptions = {}) {}

	/** Writes the settings with free ports and a data folder of their own. */
	async prepare(settingsText: string): Promise<void> {
		this.folder = await mkdtemp(join(tmpdir(), 'mastvalve-test-'));
		const remapped = await remapPorts(settingsText);
		const text = remapped.replaceAll('data_folder = "data/', `data_folder = "${this.folder}/`);
		this.settingsFile = join(this.folder, 'settings.toml');
		await writeFile(this.settingsFile, text);
		this.settings = readSettings(this.settingsFile, text)._unsafeUnwrap();
	}

	/** Writes a file beside the settings. */
	async writeFile(name: string, text: string): Promise<string> {
		const file = join(this.folder, name);
		await writeFile(file, text);
		return file;
	}

	/** Starts the stand-ins, then all instances, and waits until all are ready. */
	async start(): Promise<void> {
		this.startStandIns();
		this.settings.instances.forEach(instance => {
			this.startInstance(instance.name);
		});
		await Promise.all(this.settings.instances.map(async instance => this.waitUntilReady(instance.name)));
	}

	startStandIns(): void {
		const sidecars = this.listSidecars();
		const list = this.settings.platformList;
		if (list !== undefined) {
			this.spawn('list', ['stand-in', 'list', '--listen', list.replace('http://', ''), '--lag-ms', '300', '--initial', sidecars.map(sidecar => sidecar.name).join(',')]);
		}

		sidecars.forEach(sidecar => {
			this.startStandIn(sidecar);
		});
	}

	startStandIn(sidecar: SidecarInstance): void {
		const listen = sidecar.endpointUrl.replace('http://', '');
		const isFenced = this.options.fenced ?? sidecar.fenced;
		this.spawn(`stand-in of ${sidecar.name}`, sidecar.capacity > 0
			? ['stand-in', 'engine', '--listen', listen, '--capacity', String(sidecar.capacity), '--load-ms', String(this.options.loadMs ?? 150), ...(isFenced ? [] : ['--unfenced'])]
			: ['stand-in', 'service', '--listen', listen]);
	}

	startInstance(name: string): Child {
		return this.spawn(name, [this.findInstance(name).program, '--settings', this.settingsFile, '--instance', name]);
	}

	spawn(name: string, args: readonly string[]): Child {
		const child = new Child(args);
		this.children.set(name, child);
		return child;
	}

	child(name: string): Child {
		const child = this.children.get(name);
		if (!child) {
			throw new Error(`${name} was not started`);
		}

		return child;
	}

	findInstance(name: string): Instance {
		const instance = this.settings.instances.find(candidate => candidate.name === name);
		if (!instance) {
			throw new Error(`no instance ${name}`);
		}

		return instance;
	}

	listSidecars(service?: string): SidecarInstance[] {
		return this.settings.instances
			.filter((instance): instance is SidecarInstance => instance.program === Program.Sidecar)
			.filter(sidecar => service === undefined || sidecar.service === service);
	}

	listEntries(): Instance[] {
		return this.settings.instances.filter(instance => instance.program === Program.Entry);
	}

	urlOf(name: string): string {
		return `http://${this.findInstance(name).listen}`;
	}

	async waitUntilReady(name: string): Promise<void> {
		await waitUntil(`${name} is ready`, async () => {
			const res = await fetch(`${this.urlOf(name)}/readyz`);
			return res.ok;
		});
	}

	/** Runs an operator's command with these settings. */
	async run(...args: string[]): Promise<Finished> {
		return runCommand([...args, '--settings', this.settingsFile]);
	}

	/** Runs an operator's command that must end well, and gives its JSON. */
	async runForJson<T>(...args: string[]): Promise<T> {
		const finished = await this.run(...args, '--json');
		if (finished.code !== 0) {
			throw new Error(`mastvalve ${args.join(' ')} ended with ${finished.code ?? 'a signal'}: ${finished.stderr}`);
		}

		return assumeType<T>(JSON.parse(finished.stdout));
	}

	/** States and confirms an intent, and waits until all its residents are loaded. */
	async confirmIntent(file: string): Promise<void> {
		const plan = await this.runForJson<{id: string}>('intent', 'state', file);
		await this.runForJson('plan', 'confirm', plan.id);
		await this.waitUntilLoaded();
	}

	async waitUntilLoaded(): Promise<void> {
		await waitUntil('all residents are loaded', async () => {
			const {configuration} = await this.readStatus();
			const placements = Object.values(configuration.placements);
			return placements.length > 0 && placements.every(placement => placement.loaded.length === placement.assignments.length);
		});
	}

	async readStatus(): Promise<Status> {
		return this.runForJson<Status>('status');
	}

	/** Sets faults of the stand-in beside a sidecar. */
	async setFaults(sidecarName: string, faults: Record<string, unknown>): Promise<void> {
		const sidecar = this.listSidecars().find(candidate => candidate.name === sidecarName);
		await fetch(`${sidecar?.endpointUrl ?? ''}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	}

	async stop(): Promise<void> {
		await Promise.all([...this.children.values()].map(async child => child.kill()));
		await rm(this.folder, {recursive: true, force: true});
	}
}

/** What scenarios read of a status. */
export type Status = {
	instance: string;
	term: number;
	voters: string[];
	learners: string[];
	commitIndex: number;
	configuration: {
		version: number;
		revision: number;
		endpoints: Record<string, {id: string; state: string; incarnation: number; address: string}>;
		placements: Record<string, {assignments: Array<{model: string; mode: string}>; loaded: string[]}>;
	};
};

/** Reads a file of the repository. */
export const readRepositoryFile = async (file: string): Promise<string> => readFile(file, 'utf8');
