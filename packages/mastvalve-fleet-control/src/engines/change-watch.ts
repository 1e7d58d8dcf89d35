/**
 * Waits for the confirmation that an engine has completed an order: from its heartbeats, or from a status query when heartbeats are late.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import type {EnginePort} from './engine-port.js';

/** Source that confirmed the completion of an order. */
export enum ChangeConfirmation {
	None = 'no',
	/** The engine's response to a status query; not yet recorded in the log. */
	Status = 'told',
	/** A heartbeat, recorded in the log. */
	Record = 'recorded',
}

export type ChangeWatchOptions = {
	clock: Clock;
	/** Resolves after the given time, ms. */
	wait: (ms: number) => Promise<void>;
	/** Returns the endpoint as recorded in the log. */
	readEndpoint: () => FleetEndpoint | undefined;
	port: EnginePort;
};

/** Interval at which the recorded state is checked while an order is in progress, ms. */
const pollMs = 25;
/** The engine is queried if no heartbeat has confirmed an order this long after its expected completion, ms. */
const overdueMs = 1500;
/** Longest time to wait for the completion of a change of models, ms. */
const maxMoveMs = 40_000;

export class ChangeWatch {
	constructor(private readonly options: ChangeWatchOptions) {}

	/** Waits until the models held by the engine satisfy `isReached`; `expectedMs` is the expected duration of the order. */
	async waitUntil(isReached: (holds: string[]) => boolean, expectedMs: number): Promise<ChangeConfirmation> {
		const {clock, wait, readEndpoint} = this.options;
		const startedAt = clock.now();
		let queryAt = startedAt + expectedMs + overdueMs;
		while (clock.now() - startedAt < maxMoveMs) {
			const endpoint = readEndpoint();
			if (!endpoint) {
				return ChangeConfirmation.None;
			}

			if (isReached(endpoint.holds.map(({name}) => name))) {
				return ChangeConfirmation.Record;
			}

			if (clock.now() > queryAt) {
				queryAt = clock.now() + overdueMs;
				// eslint-disable-next-line no-await-in-loop
				const confirmation = await this.queryEngine(endpoint, isReached);
				if (confirmation !== undefined) {
					return confirmation;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(pollMs);
		}

		return ChangeConfirmation.None;
	}

	/** Queries the engine; undefined if it does not respond or an order is still in progress. */
	private async queryEngine({id, address}: FleetEndpoint, isReached: (holds: string[]) => boolean): Promise<ChangeConfirmation | undefined> {
		const status = await this.options.port.readStatus(id, address);
		if (!status || status.isBusy) {
			return undefined;
		}

		return isReached(status.holds.map(({name}) => name)) ? ChangeConfirmation.Status : ChangeConfirmation.None;
	}
}
