/**
 * The control side of an instance. An instance with a disk whose loss counts towards the tolerated failures stores the
 * replicated log and may lead; any other instance forwards calls, and returns the addresses of those that store the log.
 *
 * While the disk of an instance can't be opened, the instance forwards calls as well, and retries.
 */

import {ControlDirectory, type PeerHandler} from 'mastvalve-cluster';
import {describeError, waitFor} from 'mastvalve-utils';
import type {ControlService} from './control-service.js';
import {FleetControl, type FleetControlOptions} from './fleet-control.js';
import {ForwardedControl} from './forwarded-control.js';

export type ControlNodeOptions = FleetControlOptions & {
	/** Whether the loss of this instance counts towards the tolerated failures; only such an instance may store the log. */
	isLossCounted: boolean;
	/** Lists control instances known from other sources, nearest first. */
	listKnownAddresses: () => string[];
	/** Returns the address of the log's leader, if the program knows it. */
	readLeader: () => string | undefined;
};

/** Delay before opening the storage is retried, ms. */
const openRetryMs = 250;

export class ControlNode {
	/** Handlers of calls by other mastvalve processes; opening the log adds more. */
	readonly handlers = new Map<string, PeerHandler>();
	private readonly forwarded: ForwardedControl;
	private readonly directory: ControlDirectory | undefined;
	private readonly shutdown = new AbortController();
	private control: FleetControl | undefined;

	constructor(private readonly options: ControlNodeOptions) {
		this.directory = this.hasLog ? undefined : new ControlDirectory(options);
		this.forwarded = new ForwardedControl({client: options.client, listLogInstances: () => this.directory?.listControlAddresses() ?? options.listKnownAddresses()});
		this.addHandlers(this.directory?.handlers() ?? []);
	}

	/** Whether this instance stores the replicated log. */
	get hasLog(): boolean {
		return this.options.dataFolder !== '' && this.options.isLossCounted;
	}

	/** The service that currently handles calls of operators and endpoints. */
	get service(): ControlService {
		return this.control ?? this.forwarded;
	}

	/** The part that stores the log; undefined until it is open. */
	get fleetControl(): FleetControl | undefined {
		return this.control;
	}

	/**
	 * Returns the address to which large calls are redirected: an instance that stores the log. Forwarding would send the body
	 * twice over a link that callers' requests need, and large configurations forwarded over slow links are acknowledged too
	 * late. Undefined if this instance stores the log, or knows no instance that does.
	 */
	findRedirectTarget(): string | undefined {
		return this.hasLog ? undefined : this.options.readLeader() ?? this.directory?.listControlAddresses()[0];
	}

	/** Lists the addresses that provide the state of the fleet: this instance first if it stores the log, then others. */
	listSources(): string[] {
		const own = this.hasLog ? [this.options.address] : this.directory?.listControlAddresses() ?? [];
		return [...own, ...this.options.readSeeds().filter(address => address !== this.options.address)];
	}

	/** Runs until it is stopped. */
	async run(): Promise<void> {
		if (this.directory) {
			await this.directory.run(this.shutdown.signal);
			return;
		}

		const control = await this.openLog();
		if (control) {
			this.control = control;
			this.addHandlers(control.handlers());
			await control.run();
		}
	}

	/** Transfers leadership, so that a planned stop causes no election. */
	async transferLeadership(): Promise<void> {
		await this.control?.transferLeadership();
	}

	async stop(): Promise<void> {
		this.shutdown.abort();
		await this.control?.stop();
	}

	private addHandlers(handlers: ReadonlyArray<[string, PeerHandler]>): void {
		handlers.forEach(([path, handler]) => {
			this.handlers.set(path, handler);
		});
	}

	private async openLog(): Promise<FleetControl | undefined> {
		while (!this.shutdown.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				return await FleetControl.open(this.options);
			} catch (error) {
				this.options.onError(`can't open the log; retrying: ${describeError(error)}`);
				// eslint-disable-next-line no-await-in-loop
				await waitFor(openRetryMs, this.shutdown.signal);
			}
		}

		return undefined;
	}
}
