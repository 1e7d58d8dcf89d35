/**
 * `mastvalve dev`: the whole system with stand-ins in one process.
 */

import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startControl} from 'mastvalve-control';
import {startEntry} from 'mastvalve-entry';
import {startFakeEngine, startFakePlatformList, startFakeService} from 'mastvalve-fakes';
import {createProgramContext} from 'mastvalve-http';
import {Program, type Instance, type Settings} from 'mastvalve-settings';
import {startSidecar} from 'mastvalve-sidecar';
import {LogLevel, type MastvalveError} from 'mastvalve-types';
import {waitFor} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {readOption, UsageError, type Command} from '../cli/command.js';
import {createControlAccess, unwrap} from '../cli/control-access.js';
import {findInstance, listUpstreamUrls} from '../cli/find-instance.js';
import {print} from '../cli/output.js';
import {runUntilStopped, type Stoppable} from '../cli/run-program.js';
import {createDevSettings, devIntent, listDevEndpoints} from '../dev/dev-deployment.js';

const defaultListen = '127.0.0.1:8080';
const pollMs = 50;
const startMs = 20_000;
const maxSeed = 1000;

const startInstance = async (settings: Settings, instance: Instance): Promise<Result<Stoppable, MastvalveError>> => {
	const context = createProgramContext({instance: instance.name, failureDomain: instance.failureDomain}, settings.logLevel);
	const upstreamUrls = listUpstreamUrls(settings, instance);
	switch (instance.program) {
		case Program.Control: {
			return startControl({context, settings, instance});
		}

		case Program.Entry: {
			return startEntry({
				context, settings, instance, upstreamUrls,
			});
		}

		case Program.Sidecar: {
			return startSidecar({
				context, settings, instance, upstreamUrls,
			});
		}
	}
};

/** Waits until all endpoints have joined, confirms the intent, waits until all its models are loaded. */
const confirmIntent = async (settings: Settings): Promise<void> => {
	const control = createControlAccess(settings);
	const sidecars = settings.instances.filter(instance => instance.program === Program.Sidecar).length;
	await waitUntil(async () => {
		const status = await control.readStatus();
		return status.isOk() && Object.keys(status.value.configuration.endpoints).length === sidecars;
	});
	const plan = unwrap(await control.stateIntent({requestId: 'dev-state', intent: devIntent}));
	unwrap(await control.confirmPlan({requestId: 'dev-confirm', planId: plan.id}));
	await waitUntil(async () => {
		const status = await control.readStatus();
		return status.isOk() && Object.values(status.value.configuration.placements).every(placement => placement.loaded.length === placement.assignments.length);
	});
};

const waitUntil = async (condition: () => Promise<boolean>): Promise<void> => {
	const endAt = performance.now() + startMs;
	// Each look must follow the one before.
	// eslint-disable-next-line no-await-in-loop
	while (!await condition()) {
		if (performance.now() > endAt) {
			throw new UsageError(`mastvalve dev was not ready after ${startMs} ms. Run it with --log-level info to see why.`);
		}

		// eslint-disable-next-line no-await-in-loop
		await waitFor(pollMs);
	}
};

const readLogLevel = (text: string | undefined): LogLevel => {
	const level = Object.values(LogLevel).find(value => String(value) === (text ?? LogLevel.Error));
	if (!level) {
		throw new UsageError(`--log-level is "${text ?? ''}"; give one of ${Object.values(LogLevel).join(', ')}.`);
	}

	return level;
};

const firstChat = {model: 'headings', stream: true, messages: [{role: 'user', content: 'Subject headings for a new atlas'}]};

/** Whether the entry answers a chat; it learns of the placements a moment after control does. */
const answersChat = async (address: string): Promise<boolean> => {
	try {
		const res = await fetch(`http://${address}/v1/chat/completions`, {method: 'POST', headers: {'content-type': 'application/json', connection: 'close'}, body: JSON.stringify({...firstChat, stream: false})});
		await res.text();
		return res.ok;
	} catch {
		// Nobody listens yet; it is asked again.
		return false;
	}
};

const welcome = (address: string): string => String.raw`mastvalve dev is ready on http://${address}

  curl -N http://${address}/v1/chat/completions -H 'content-type: application/json' \
    -d '${JSON.stringify(firstChat)}'

Models: ${devIntent.models.flatMap(model => [model.name, ...model.adapters.map(adapter => adapter.name)]).join(', ')}. Plain service: /services/desk/.
Ctrl-C ends it.`;

/** The command. */
export const command: Command = {
	name: 'dev',
	usage: '[--listen IP:PORT] [--log-level LEVEL]',
	summary: 'run the whole system with stand-ins in one process',
	help: [`Listens on ${defaultListen} unless told otherwise. Its state is in a temporary folder that is removed at the end.`],
	options: {listen: {type: 'string'}, 'log-level': {type: 'string'}},
	positionals: 0,
	async run(args) {
		const dataFolder = await mkdtemp(join(tmpdir(), 'mastvalve-dev-'));
		const endpoints = listDevEndpoints();
		const list = unwrap(await startFakePlatformList({
			listen: '127.0.0.1:0', seed: 1, lagMs: 500, initial: endpoints.map(endpoint => endpoint.name),
		}));
		const fakes = await Promise.all(endpoints.map(async (endpoint, index) => unwrap(endpoint.capacity > 0
			? await startFakeEngine({capacity: endpoint.capacity, seed: index + 1})
			: await startFakeService({listen: '127.0.0.1:0', seed: maxSeed + index}))));
		const settings = await createDevSettings(
			readOption(args, 'listen') ?? defaultListen,
			dataFolder,
			endpoints.map((endpoint, index) => ({...endpoint, url: `http://${fakes[index]?.address ?? ''}`})),
			`http://${list.address}`,
		);
		settings.logLevel = readLogLevel(readOption(args, 'log-level'));
		const programs = await Promise.all(settings.instances.map(async instance => startInstance(settings, instance)));
		const running = programs.map(unwrap);
		await confirmIntent(settings);
		const {listen} = findInstance(settings, 'entry-1', Program.Entry);
		await waitUntil(async () => answersChat(listen));
		print(welcome(listen));
		return runUntilStopped({
			async drain() {
				// Entries first, then sidecars, control last: whoever still works has what it needs.
				const [control, entry, ...sidecars] = running;
				await entry?.drain();
				await Promise.all(sidecars.map(async sidecar => sidecar.drain()));
				await control?.drain();
				await Promise.all([list, ...fakes].map(async fake => fake.close()));
				await rm(dataFolder, {recursive: true, force: true});
			},
		});
	},
};
