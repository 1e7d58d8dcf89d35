/**
 * Waiting on conditions, never on time; the limit only ends a scenario that would wait for ever.
 */

import {setTimeout as setTimer} from 'node:timers/promises';

const pollMs = 40;
const limitMs = 60_000;

/** Waits until a condition gives something truthy, and gives that. Errors count as "not yet". */
export const waitUntil = async <T>(what: string, condition: () => Promise<T>): Promise<NonNullable<T>> => {
	const endAt = performance.now() + limitMs;
	let last = '';
	while (performance.now() < endAt) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const value = await condition();
			if (value) {
				return value;
			}
		} catch (error) {
			last = String(error);
		}

		// eslint-disable-next-line no-await-in-loop
		await setTimer(pollMs);
	}

	throw new Error(`waited in vain until ${what}${last === '' ? '' : `; last error: ${last}`}`);
};
