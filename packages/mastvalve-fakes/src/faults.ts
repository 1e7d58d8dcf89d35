/**
 * Faults that a stand-in shows on demand, repeatable by its seed.
 */

import type {Random} from 'mastvalve-utils';

/** Shares are from 0 to 1. */
export type Faults = {
	/** Orders that are dropped without an answer. */
	loseOrders: number;
	/** Orders that are carried out and whose answer is dropped. */
	loseAnswers: number;
	/** Orders that are carried out twice. */
	repeatOrders: number;
	/** Orders that are carried out only after `orderDelayMs`, their answer dropped. */
	delayOrders: number;
	orderDelayMs: number;
	/** Streams that break off after `breakAfterTokens`. */
	breakStreams: number;
	breakAfterTokens: number;
	/** Loads take this many times as long. */
	loadSlowdown: number;
	/** Calls of a plain service whose connection breaks after the effect. */
	breakAfterEffect: number;
	/** Added to each call of a plain service, ms. */
	callDelayMs: number;
};

/** No faults. */
export const noFaults: Faults = {
	loseOrders: 0,
	loseAnswers: 0,
	repeatOrders: 0,
	delayOrders: 0,
	orderDelayMs: 1000,
	breakStreams: 0,
	breakAfterTokens: 5,
	loadSlowdown: 1,
	breakAfterEffect: 0,
	callDelayMs: 0,
};

/** Whether a fault with this share strikes now. */
export const strikes = (share: number, random: Random): boolean => share > 0 && random() < share;
