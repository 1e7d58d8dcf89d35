/**
 * Finds the command, runs it, prints errors, gives the exit code.
 */

import {formatFinding} from 'mastvalve-settings';
import {toMastvalveError, formatTable} from 'mastvalve-utils';
import {readArgs, UsageError, type Command} from './command.js';
import {ExitCode, exitCodeOf} from './exit-code.js';
import {FindingsError} from './files.js';
import {print, printError} from './output.js';

/** Loads a command only when it is run, so that no program carries what it doesn't use. */
type LazyCommand = {name: string; load: () => Promise<{command: Command}>};

const commands: LazyCommand[] = [
	{name: 'dev', load: async () => import('../commands/dev.js')},
	{name: 'control', load: async () => import('../commands/control.js')},
	{name: 'entry', load: async () => import('../commands/entry.js')},
	{name: 'sidecar', load: async () => import('../commands/sidecar.js')},
	{name: 'settings check', load: async () => import('../commands/settings-check.js')},
	{name: 'intent state', load: async () => import('../commands/intent-state.js')},
	{name: 'plan show', load: async () => import('../commands/plan-show.js')},
	{name: 'plan confirm', load: async () => import('../commands/plan-confirm.js')},
	{name: 'status', load: async () => import('../commands/status.js')},
	{name: 'endpoint drain', load: async () => import('../commands/endpoint-drain.js')},
	{name: 'timeline', load: async () => import('../commands/timeline.js')},
	{name: 'stand-in', load: async () => import('../commands/stand-in.js')},
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
		formatTable(loaded.map(({command}) => [`  ${command.name}`, command.summary])),
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
	const {command} = await lazy.load();
	const args = readArgs(command, rest);
	if (args.isErr()) {
		return reportError(args.error);
	}

	if (args.value.options.help) {
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
