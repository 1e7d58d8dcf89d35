/**
 * Control instances of a deployment: who leads, and killing some of them.
 */

import {ControlClient} from 'mastvalve-control';
import {Program, type Settings} from 'mastvalve-settings';
import {HybridClock} from 'mastvalve-utils';
import type {Deployment} from './deployment.js';

/** The control instances of a deployment of the tests. */
export const controlNames = ['control-1', 'control-2', 'control-3'];

/** A client of all control instances of a deployment. */
export const createControl = (settings: Settings): ControlClient => new ControlClient(
	settings.instances.filter(instance => instance.program === Program.Control).map(({name, listen}) => ({name, url: `http://${listen}`})),
	new HybridClock(Date.now),
	30_000,
);

/** The name of a control instance that does not lead. */
export const findFollower = async (deployment: Deployment): Promise<string> => {
	const {instance} = await deployment.readStatus();
	return controlNames.find(name => name !== instance) ?? '';
};

/** Kills instances and waits until they are ready again. */
export const killAndRestart = async (deployment: Deployment, names: readonly string[]): Promise<void> => {
	await Promise.all(names.map(async name => deployment.child(name).kill()));
	names.forEach(name => {
		deployment.startInstance(name);
	});
	await Promise.all(names.map(async name => deployment.waitUntilReady(name)));
};

/** The figure of a metric of one instance; not a number when it has none. */
export const readMetric = async (deployment: Deployment, name: string, metric: string): Promise<number> => {
	const res = await fetch(`${deployment.urlOf(name)}/metrics`);
	const text = await res.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${metric}{`));
	return Number(line?.split(' ').at(-1) ?? Number.NaN);
};
