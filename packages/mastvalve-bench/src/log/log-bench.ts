/**
 * `npm run bench -- log`: what the replicated log carries with sync on, how long control needs after the leader was
 * killed, how long a change needs to be in force everywhere, how long a restart takes.
 */

import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {ControlClient} from 'mastvalve-control';
import {createFileSystem, Journal} from 'mastvalve-replication';
import {Program} from 'mastvalve-settings';
import {ServiceKind} from 'mastvalve-types';
import {HybridClock} from 'mastvalve-utils';
import {BenchProcesses, waitUntil} from '../processes.js';
import {quantile} from '../statistics.js';

/** Rows of a table, with a head. */
export type BenchTable = {title: string; rows: string[][]};

const createClient = (processes: BenchProcesses): ControlClient => new ControlClient(
	processes.settings.instances.filter(instance => instance.program === Program.Control).map(({name, listen}) => ({name, url: `http://${listen}`})),
	new HybridClock(Date.now),
	20_000,
);

const claim = async (control: ControlClient): Promise<boolean> => {
	const begun = await control.beginClaim({
		key: randomUUID(), digest: 'd', attempt: randomUUID(), issuedAt: Date.now(), expiresAt: Date.now() + 60_000,
	});
	return begun.isOk();
};

/** Runs `task` so often, so many at once; calls a second. */
const measureRate = async (count: number, parallel: number, task: () => Promise<unknown>): Promise<number> => {
	let left = count;
	const startedAt = performance.now();
	await Promise.all(Array.from({length: parallel}, async () => {
		while (left > 0) {
			left -= 1;
			// Each of the parallel callers waits for its own answer.
			// eslint-disable-next-line no-await-in-loop
			await task();
		}
	}));
	return count / ((performance.now() - startedAt) / 1000);
};

const measureThroughput = async (): Promise<BenchTable> => {
	const rows = [['control instances', 'callers at once', 'claims/s']];
	for (const controls of [1, 3, 5]) {
		// One deployment after the other.
		// eslint-disable-next-line no-await-in-loop
		const processes = await BenchProcesses.prepare({
			controls, entries: 0, engines: 0, services: 0, models: 0,
		});
		// eslint-disable-next-line no-await-in-loop
		await processes.startAll([]);
		const clients = Array.from({length: 4}, () => createClient(processes));
		for (const parallel of [1, 8, 64, 256]) {
			let turn = 0;
			// eslint-disable-next-line no-await-in-loop
			const rate = await measureRate(Math.min(8000, parallel * 150), parallel, async () => {
				turn += 1;
				return claim(clients[turn % clients.length] ?? createClient(processes));
			});
			rows.push([String(controls), String(parallel), rate.toFixed(0)]);
		}

		// eslint-disable-next-line no-await-in-loop
		await processes.stop();
	}

	return {title: 'claims through the log, each synced by a majority before its answer', rows};
};

const recoveryTrials = 30;

const measureRecovery = async (): Promise<BenchTable> => {
	const processes = await BenchProcesses.prepare({
		controls: 3, entries: 0, engines: 0, services: 0, models: 0,
	});
	await processes.startAll([]);
	const control = createClient(processes);
	const times: number[] = [];
	for (let trial = 0; trial < recoveryTrials; trial += 1) {
		// Trials follow each other.
		/* eslint-disable no-await-in-loop */
		const status = await control.readStatus();
		const leader = status._unsafeUnwrap().instance;
		await processes.kill(leader);
		const startedAt = performance.now();
		await waitUntil('a claim is granted again', async () => claim(control));
		times.push(performance.now() - startedAt);
		processes.startInstance(leader, []);
		await processes.waitUntilReady([leader]);
		/* eslint-enable no-await-in-loop */
	}

	await processes.stop();
	return {
		title: `time from kill -9 of the leader to the next claim granted, ${recoveryTrials} trials, ms`,
		rows: [['median', '95th', 'worst'], [quantile(times, 0.5).toFixed(0), quantile(times, 0.95).toFixed(0), Math.max(...times).toFixed(0)]],
	};
};

const spreadTrials = 40;

const measureSpread = async (): Promise<BenchTable> => {
	const processes = await BenchProcesses.prepare({
		controls: 3, entries: 3, engines: 0, services: 12, models: 0,
	});
	await processes.startAll([]);
	const control = createClient(processes);
	const followers = processes.settings.instances.filter(instance => instance.program !== Program.Control);
	const readRevision = async (name: string): Promise<number> => {
		const res = await fetch(`${processes.urlOf(name)}/metrics`);
		const text = await res.text();
		return Number(/^mastvalve_configuration_revision\{[^\}]*\} (?<value>\d+)/mv.exec(text)?.groups?.value ?? -1);
	};

	const times: number[] = [];
	for (let trial = 0; trial < spreadTrials; trial += 1) {
		/* eslint-disable no-await-in-loop */
		const stated = await control.stateIntent({requestId: randomUUID(), intent: {services: [{name: `s${trial}`, kind: ServiceKind.Plain, notRepeated: []}], models: [], events: []}});
		const confirmed = await control.confirmPlan({requestId: randomUUID(), planId: stated._unsafeUnwrap().id});
		const acceptedAt = performance.now();
		const {revision} = confirmed._unsafeUnwrap();
		await Promise.all(followers.map(async ({name}) => waitUntil(`${name} has it`, async () => await readRevision(name) >= revision)));
		times.push(performance.now() - acceptedAt);
		/* eslint-enable no-await-in-loop */
	}

	await processes.stop();
	return {
		title: `time from "confirmed" to in force on 3 entries and 12 sidecars below them, ${spreadTrials} changes, looked at every 20 ms, ms`,
		rows: [['median', '95th', 'worst'], [quantile(times, 0.5).toFixed(0), quantile(times, 0.95).toFixed(0), Math.max(...times).toFixed(0)]],
	};
};

const measureRestart = async (): Promise<BenchTable> => {
	const rows = [['claims in the log', 'journal, MB', 'time to read it, ms', 'time to be ready, ms']];
	for (const count of [500, 2000, 4500, 9000]) {
		/* eslint-disable no-await-in-loop */
		const processes = await BenchProcesses.prepare({
			controls: 1, entries: 0, engines: 0, services: 0, models: 0,
		});
		await processes.startAll([]);
		const control = createClient(processes);
		await measureRate(count, 64, async () => claim(control));
		await processes.kill('control-1');
		const files = createFileSystem(join(processes.folder, 'control-1'));
		const names = await files.list();
		const bytes = await Promise.all(names.map(async name => readFile(join(processes.folder, 'control-1', name))));
		const readAt = performance.now();
		await Journal.open(files, 'control-1');
		const readMs = performance.now() - readAt;
		const startedAt = performance.now();
		processes.startInstance('control-1', []);
		await processes.waitUntilReady(['control-1']);
		const readyMs = performance.now() - startedAt;
		await processes.stop();
		rows.push([String(count), (bytes.reduce((sum, each) => sum + each.length, 0) / 1e6).toFixed(2), readMs.toFixed(0), readyMs.toFixed(0)]);
		/* eslint-enable no-await-in-loop */
	}

	return {title: 'restart of a lone control instance (a snapshot is taken every 5000 entries)', rows};
};

/** The measurements, one after the other. */
export const logMeasurements: ReadonlyArray<() => Promise<BenchTable>> = [measureSpread, measureRestart, measureThroughput, measureRecovery];

