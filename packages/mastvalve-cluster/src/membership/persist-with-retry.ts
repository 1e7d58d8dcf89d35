/**
 * Retries a log write that storage rejects, for example on a full or faulty disk. Until the write succeeds, this instance
 * sends no response that depends on it, so it can't lead or acknowledge; entries that it acknowledged before stay durable.
 */

import type {DurableWrite, Journal} from 'mastvalve-replication';
import {describeError, waitFor} from 'mastvalve-utils';

export type PersistOptions = {
	journal: Journal;
	write: DurableWrite;
	/** Aborts when the instance stops. */
	signal: AbortSignal;
	onError: (message: string) => void;
};

const retryDelayMs = 250;

/** Persists a write, and retries until it succeeds; rejects if the instance stops first. */
export const persistWithRetry = async ({journal, write, signal, onError}: PersistOptions): Promise<void> => {
	let failures = 0;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			await journal.persist(write);
			return;
		} catch (error) {
			failures += 1;
			if (failures === 1) {
				onError(`storage rejected a log write; retrying, and this instance acknowledges nothing until it succeeds: ${describeError(error)}`);
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor(retryDelayMs, signal);
		}
	}

	throw new Error('instance stopped while a log write was pending');
};
