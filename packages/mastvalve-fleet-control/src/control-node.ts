/**
 * The control side of an instance. One that has a disk whose loss the operator counts keeps the replicated log and may
 * lead; any other passes calls on, and tells those who look for the log where it is.
 *
 * While the disk of an instance can't be opened, the instance passes calls on as well, and tries again.
 */

import {ControlDirectory, type PeerHandler} from 'mastvalve-cluster';
import {describeError, waitFor} from 'mastvalve-utils';
import type {ControlService} from './control-service.js';
import {FleetControl, type FleetControlOptions} from './fleet-control.js';
import {ForwardedControl} from './forwarded-control.js';

/** What the control side is made from. */
export type ControlNodeOptions = FleetControlOptions & {
	/** Whether the loss of this instance counts among those that must be borne; only such a disk may hold the log. */
	isLossCounted: boolean;
	/** Control instances that are known otherwise, the nearest first. */
	listKnown: () => string[];
	/** Address of the log's leader, as far as the program knows it. */
	readLeader: () => string | undefined;
};

/** Pause before storage that could not be opened is tried again, ms. */
const openPauseMs = 250;

/** The control side. */
export class ControlNode {
	/** Calls of other processes of mastvalve; more come when the log is open. */
	readonly handlers = new Map<string, PeerHandler>();
	private readonly forwarded: ForwardedControl;
	private readonly directory: ControlDirectory | undefined;
	private readonly ending = new AbortController();
	private control: FleetControl | undefined;

	constructor(private readonly options: ControlNodeOptions) {
		this.directory = this.hasLog ? undefined : new ControlDirectory(options);
		this.forwarded = new ForwardedControl({client: options.client, listLogInstances: () => this.directory?.listKeepers() ?? options.listKnown()});
		this.addHandlers(this.directory?.handlers() ?? []);
	}

	/** Whether this instance keeps the replicated log. */
	get hasLog(): boolean {
		return this.options.dataFolder !== '' && this.options.isLossCounted;
	}

	/** What answers operators and endpoints at this moment. */
	get service(): ControlService {
		return this.control ?? this.forwarded;
	}

	/** The part that keeps the log, once it is open. */
	get fleetControl(): FleetControl | undefined {
		return this.control;
	}

	/**
	 * Where callers with something large are to go instead: to an instance that keeps the log, since this one would carry it
	 * twice over a link that callers' requests need. Large configurations passed on over slow
	 * links are acknowledged too late. Undefined when this instance keeps the log, or knows none that does.
	 */
	findRedirectTarget(): string | undefined {
		return this.hasLog ? undefined : this.options.readLeader() ?? this.directory?.listKeepers()[0];
	}

	/** Addresses to ask for the state of the fleet: this instance itself if it keeps the log, then others. */
	listSources(): string[] {
		const own = this.hasLog ? [this.options.address] : this.directory?.listKeepers() ?? [];
		return [...own, ...this.options.readSeeds().filter(address => address !== this.options.address)];
	}

	/** Takes part until it is stopped. */
	async run(): Promise<void> {
		if (this.directory) {
			await this.directory.run(this.ending.signal);
			return;
		}

		const control = await this.openLog();
		if (control) {
			this.control = control;
			this.addHandlers(control.handlers());
			await control.run();
		}
	}

	/** Hands leadership over, so that a planned stop costs no election. */
	async transferLeadership(): Promise<void> {
		await this.control?.transferLeadership();
	}

	async stop(): Promise<void> {
		this.ending.abort();
		await this.control?.stop();
	}

	private addHandlers(handlers: ReadonlyArray<[string, PeerHandler]>): void {
		handlers.forEach(([path, handler]) => {
			this.handlers.set(path, handler);
		});
	}

	private async openLog(): Promise<FleetControl | undefined> {
		while (!this.ending.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				return await FleetControl.open(this.options);
			} catch (error) {
				this.options.onError(`the log can't be opened and is tried again: ${describeError(error)}`);
				// eslint-disable-next-line no-await-in-loop
				await waitFor(openPauseMs, this.ending.signal);
			}
		}

		return undefined;
	}
}
