/**
 * Waits until an engine shows that an order is done: by its heartbeats, or when it is asked because they are late.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import type {EnginePort} from './engine-port.js';

/** Who has shown that an order is done. */
export enum ChangeConfirmation {
	None = 'no',
	/** The engine, when it was asked; the record lacks it. */
	Status = 'told',
	/** A heartbeat, so it is on record. */
	Record = 'recorded',
}

/** What a watch is made from. */
export type ChangeWatchOptions = {
	clock: Clock;
	/** Waits so many ms. */
	wait: (ms: number) => Promise<void>;
	/** The endpoint as the log has it. */
	readEndpoint: () => FleetEndpoint | undefined;
	port: EnginePort;
};

/** How often the state is looked at while an order is under way, ms. */
const pollMs = 25;
/** An order under way that no heartbeat has confirmed is looked up this long after it was due, ms. */
const overdueMs = 1500;
/** Longest time for which a change of models is followed, ms. */
const maxMoveMs = 40_000;

/** The watch. */
export class ChangeWatch {
	constructor(private readonly options: ChangeWatchOptions) {}

	/** Waits until the models that the engine holds are as they should be; `expectedMs` is the time that the order takes. */
	async waitUntil(isReached: (holds: string[]) => boolean, expectedMs: number): Promise<ChangeConfirmation> {
		const {clock, wait, readEndpoint} = this.options;
		const startedAt = clock.now();
		let askAt = startedAt + expectedMs + overdueMs;
		while (clock.now() - startedAt < maxMoveMs) {
			const endpoint = readEndpoint();
			if (!endpoint) {
				return ChangeConfirmation.None;
			}

			if (isReached(endpoint.holds.map(({name}) => name))) {
				return ChangeConfirmation.Record;
			}

			if (clock.now() > askAt) {
				askAt = clock.now() + overdueMs;
				// eslint-disable-next-line no-await-in-loop
				const seen = await this.ask(endpoint, isReached);
				if (seen !== undefined) {
					return seen;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(pollMs);
		}

		return ChangeConfirmation.None;
	}

	/** What the engine says; undefined while it says nothing, or an order is still under way. */
	private async ask({id, address}: FleetEndpoint, isReached: (holds: string[]) => boolean): Promise<ChangeConfirmation | undefined> {
		const status = await this.options.port.readStatus(id, address);
		if (!status || status.isBusy) {
			return undefined;
		}

		return isReached(status.holds.map(({name}) => name)) ? ChangeConfirmation.Status : ChangeConfirmation.None;
	}
}
