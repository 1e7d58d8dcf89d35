/**
 * `mastvalve stand-in`: runs a stand-in for something outside, for trying things out and for tests.
 */

import {
	startFakeEngine, startFakePlatformList, startFakeService, startFakeWeightStore, type RunningFake,
} from 'mastvalve-fakes';
import type {MastvalveError} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {
	readOption, UsageError, type Command, type CommandArgs,
} from '../cli/command.js';
import {unwrap} from '../cli/control-access.js';
import {print} from '../cli/output.js';
import {runUntilStopped} from '../cli/run-program.js';

const readNumber = (args: CommandArgs, name: string, fallback: number): number => {
	const text = readOption(args, name);
	const value = Number(text ?? fallback);
	if (!Number.isFinite(value)) {
		throw new UsageError(`--${name} is "${text ?? ''}"; give a number.`);
	}

	return value;
};

const starters: Readonly<Record<string, (args: CommandArgs, listen: string, seed: number) => Promise<Result<RunningFake, MastvalveError>>>> = {
	engine: async (args, listen, seed) => startFakeEngine({
		listen,
		seed,
		capacity: readNumber(args, 'capacity', 300),
		fenced: args.options.unfenced !== true,
		loadMs: readNumber(args, 'load-ms', 300),
		weightStoreUrl: readOption(args, 'store'),
	}),
	service: async (_args, listen, seed) => startFakeService({listen, seed}),
	store: async (args, listen, seed) => startFakeWeightStore({
		listen,
		seed,
		loadsPerSecond: readNumber(args, 'loads-per-second', 2),
		parallelLoads: readNumber(args, 'parallel-loads', 17),
		minLoadMs: 1000,
		maxLoadMs: 9000,
	}),
	list: async (args, listen, seed) => startFakePlatformList({
		listen,
		seed,
		lagMs: readNumber(args, 'lag-ms', 1000),
		initial: (readOption(args, 'initial') ?? '').split(',').filter(id => id !== ''),
	}),
};

/** The command. */
export const command: Command = {
	name: 'stand-in',
	usage: 'engine|service|store|list --listen IP:PORT [--seed N]',
	summary: 'run a stand-in for an engine, a plain service, the weight store or the platform list',
	help: [
		'engine: --capacity N --load-ms N --store URL --unfenced',
		'store: --loads-per-second N --parallel-loads N',
		'list: --lag-ms N --initial ID,ID',
		'POST /faults sets faults; see packages/mastvalve-fakes/src/faults.ts.',
	],
	options: {
		listen: {type: 'string'},
		seed: {type: 'string'},
		capacity: {type: 'string'},
		'load-ms': {type: 'string'},
		store: {type: 'string'},
		unfenced: {type: 'boolean'},
		'loads-per-second': {type: 'string'},
		'parallel-loads': {type: 'string'},
		'lag-ms': {type: 'string'},
		initial: {type: 'string'},
	},
	positionals: 1,
	async run(args) {
		const kind = args.positionals[0] ?? '';
		const start = starters[kind];
		if (!start) {
			throw new UsageError(`There is no stand-in "${kind}". There are: ${Object.keys(starters).join(', ')}.`);
		}

		const fake = unwrap(await start(args, readOption(args, 'listen') ?? '127.0.0.1:0', readNumber(args, 'seed', 1)));
		print(`${kind} listens on ${fake.address}`);
		return runUntilStopped({drain: fake.close});
	},
};
