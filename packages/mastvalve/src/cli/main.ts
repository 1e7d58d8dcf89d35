/**
 * Finds the command, runs it, prints errors, gives the exit code.
 */

import {formatFinding} from 'mastvalve-settings';
import {toMastvalveError} from 'mastvalve-utils';
import {readArgs, UsageError, type Command} from './command.js';
import {ExitCode, exitCodeOf} from './exit-code.js';
import {FindingsError} from './files.js';
import {formatTable, print, printError} from './output.js';

/** Loads a command only when it is run, so that no program carries what it doesn't use. */
type LazyCommand = {name: string; load: () => Promise<Command>};

const commands: LazyCommand[] = [
	{name: 'dev', load: async () => (await import('../commands/dev.js')).devCommand},
	{name: 'control', load: async () => (await import('../commands/control.js')).controlCommand},
	{name: 'entry', load: async () => (await import('../commands/entry.js')).entryCommand},
	{name: 'sidecar', load: async () => (await import('../commands/sidecar.js')).sidecarCommand},
	{name: 'settings check', load: async () => (await import('../commands/settings-check.js')).settingsCheckCommand},
	{name: 'intent state', load: async () => (await import('../commands/intent-state.js')).intentStateCommand},
	{name: 'plan show', load: async () => (await import('../commands/plan-show.js')).planShowCommand},
	{name: 'plan confirm', load: async () => (await import('../commands/plan-confirm.js')).planConfirmCommand},
	{name: 'status', load: async () => (await import('../commands/status.js')).statusCommand},
	{name: 'endpoint drain', load: async () => (await import('../commands/endpoint-drain.js')).endpointDrainCommand},
	{name: 'timeline', load: async () => (await import('../commands/timeline.js')).timelineCommand},
	{name: 'stand-in', load: async () => (await import('../commands/stand-in.js')).standInCommand},
];

/** The version of this mastvalve. */
export const version = '0.1.0';

const formatHelp = async (): Promise<string> => {
	const loaded = await Promise.all(commands.map(async ({load}) => load()));
	return [
		'mastvalve serves many language models on fewer accelerators.',
		'',
		'Usage: mastvalve COMMAND [options]; mastvalve COMMAND --help tells more.',
		'',
		formatTable(loaded.map(command => [`  ${command.name}`, command.summary])),
		'',
		'Exit codes: 0 done, 1 failure, 2 wrong usage, 3 findings, 4 control unavailable, 5 conflict, 6 refused.',
	].join('\n');
};

const formatCommandHelp = (command: Command): string =>
	[`Usage: mastvalve ${command.name} ${command.usage}`, '', `${command.summary}.`, ...command.help].join('\n');

const findCommand = (argv: readonly string[]): {lazy: LazyCommand; rest: string[]} | undefined =>
	commands
		.map(lazy => ({lazy, words: lazy.name.split(' ')}))
		.filter(({words}) => words.every((word, index) => argv[index] === word))
		.map(({lazy, words}) => ({lazy, rest: argv.slice(words.length)}))[0];

const reportError = (thrown: unknown): ExitCode => {
	const error = toMastvalveError(thrown);
	if (error instanceof FindingsError) {
		error.findings.forEach(finding => {
			printError(formatFinding(finding));
		});
	}

	printError(`mastvalve: ${error.message}`);
	if (error instanceof UsageError) {
		return ExitCode.Usage;
	}

	return error instanceof FindingsError ? ExitCode.Findings : exitCodeOf(error.code);
};

const runCommand = async (lazy: LazyCommand, rest: string[]): Promise<ExitCode> => {
	const command = await lazy.load();
	const args = readArgs(command, rest);
	if (args.isErr()) {
		return reportError(args.error);
	}

	if (args.value.options['help']) {
		print(formatCommandHelp(command));
		return ExitCode.Ok;
	}

	return command.run(args.value).catch(reportError);
};

/** Runs the command line; `argv` without node and script. */
export const runMain = async (argv: readonly string[]): Promise<ExitCode> => {
	if (argv[0] === '--version') {
		print(version);
		return ExitCode.Ok;
	}

	if (argv.length === 0 || argv[0] === '--help' || argv[0] === '-h' || argv[0] === 'help') {
		print(await formatHelp());
		return argv.length === 0 ? ExitCode.Usage : ExitCode.Ok;
	}

	const found = findCommand(argv);
	return found
		? runCommand(found.lazy, found.rest)
		: reportError(new UsageError(`There is no command "${argv.slice(0, 2).join(' ')}". "mastvalve --help" lists them.`));
};
