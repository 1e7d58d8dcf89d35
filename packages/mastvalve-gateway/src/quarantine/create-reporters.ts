/**
 * Creates the reporters of an entry: what it knows of crashed endpoints, and of answers that clear suspects.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {CrashReport, SuccessReport} from 'mastvalve-fleet';
import {ControlReporter} from './control-reporter.js';

export type ReporterOptions = {
	client: PeerClient;
	/** Returns the control instances that accept reports, in order of preference. */
	listTargets: () => string[];
	random: () => number;
};

/** Longest time for which answers are collected, ms: the first entry that reports spares the others the same report. */
const maxCollectMs = 50;
/** Failed calls after which answers are dropped: later ones say the same, and control instances of earlier versions don't take them. */
const maxSuccessFailures = 20;

export const createCrashReporter = ({client, listTargets}: ReporterOptions): ControlReporter<CrashReport> =>
	new ControlReporter<CrashReport>({
		client, listTargets, path: '/crashes', add: (pending, report) => [...pending, report], collectMs: () => 0, maxFailures: Number.POSITIVE_INFINITY,
	});

/** Of several reports on one suspect, the newest holds what the others do. */
export const createSuccessReporter = ({client, listTargets, random}: ReporterOptions): ControlReporter<SuccessReport> =>
	new ControlReporter<SuccessReport>({
		client, listTargets, path: '/successes', add: (pending, report) => [...pending.filter(({fingerprint}) => fingerprint !== report.fingerprint), report], collectMs: () => random() * maxCollectMs, maxFailures: maxSuccessFailures,
	});
