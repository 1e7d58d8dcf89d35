/**
 * Decides whether a request, or a part of prompts, causes the crashes during which it was in flight. Pure functions.
 *
 * What crashes endpoints is in flight at each of their crashes, and requests with it are not answered. What many requests share is in
 * flight at most crashes too, but is answered elsewhere at the same time. An answer to a request that was sent after a crash clears a
 * suspect of it. A suspect is spared while a narrower one, which fewer requests share, accounts for its crashes; and one that was answered
 * before is given the time in which answers to later requests would begin.
 */

import {isPartFingerprint} from './part-fingerprint.js';

/** A suspect with the crashes that count against it. */
export type Suspect = {
	fingerprint: string;
	/** Requests with it that were in flight at crashes. */
	requests: number;
	/** Most requests with it that one entry has recently seen answered. */
	successes: number;
	/** Numbers of the crashes, the oldest first. */
	crashes: number[];
	/** Crashes up to this number happened before a request with it was sent whose answer has begun; 0 if there is none. */
	begunNumber: number;
	/** Times that its quarantine was lifted on probation, on which one more crash quarantines it again. */
	probations: number;
	isOnProbation: boolean;
};

/**
 * Number of crashes that quarantine what was never answered. With two, a request that ran during two crashes by chance would be refused: a
 * crash interrupts up to 16 other requests (seen in 22 crashes), which are retried elsewhere at once.
 */
export const crashLimit = 3;
/** Number of crashes that quarantine what was answered before: endpoints with new software may crash under what earlier ones served. */
export const soundCrashLimit = 5;
/**
 * Time between these crashes and the quarantine, ms: requests that were sent after a crash begin to be answered within about 0.4 s, and control
 * learns of it within 0.1 s.
 */
export const contradictionMs = 700;
/**
 * Time until what was answered before is released on probation, ms, and how much longer it is each time. While many engines are down nothing is
 * answered that could clear what all requests share; and each probation of what does crash engines costs one or two of them.
 */
const firstProbationMs = 15_000;
const probationGrowth = 4;

/** Returns how long a quarantine of what was answered before lasts, ms. */
export const getProbationDelayMs = (probations: number): number => firstProbationMs * (probationGrowth ** probations);

/** Crashes that a narrower suspect need not account for: reports of one crash by several entries arrive one after the other. */
const maxUnreported = 1;

/** What decides whether there are enough crashes. */
export type CrashCount = {crashes: readonly number[]; begunNumber: number; isSound: boolean};

/** Whether there are enough crashes for a quarantine. */
export const reachesCrashLimit = ({crashes, begunNumber, isSound}: CrashCount): boolean =>
	crashes.filter(crash => crash > begunNumber).length >= (isSound ? soundCrashLimit : crashLimit);

export const isSound = ({successes}: Suspect): boolean => successes > 0;

const countRequests = ({requests, successes}: Suspect): number => requests + successes;

/** Whether fewer requests share the first suspect. A request is narrower than the parts of its prompt. */
const isNarrower = (first: Suspect, second: Suspect): boolean => {
	const difference = countRequests(first) - countRequests(second);
	return difference === 0 ? !isPartFingerprint(first.fingerprint) && isPartFingerprint(second.fingerprint) : difference < 0;
};

/** Whether a narrower suspect accounts for the crashes of another one. */
export const explains = (other: Suspect, suspect: Suspect): boolean =>
	isNarrower(other, suspect) && suspect.crashes.filter(crash => !other.crashes.includes(crash)).length <= maxUnreported;
