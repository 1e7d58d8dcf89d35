/**
 * The shape of a command, and how its arguments are read.
 */

import {parseArgs, type ParseArgsConfig} from 'node:util';
import {describeError} from 'mastvalve-utils';
import {MastvalveError} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import type {ExitCode} from './exit-code.js';

/** Arguments after they were read. */
export type CommandArgs = {
	options: Record<string, string | boolean | undefined>;
	positionals: string[];
};

/** One command or subcommand. */
export type Command = {
	/** Words after `mastvalve`, such as `plan confirm`. */
	name: string;
	/** What stands behind the name, such as `ID --settings FILE`. */
	usage: string;
	/** One line for the list of commands. */
	summary: string;
	/** More lines for `--help`. */
	help: string[];
	options: NonNullable<ParseArgsConfig['options']>;
	/** How many positionals it takes. */
	positionals: number;
	run: (args: CommandArgs) => Promise<ExitCode>;
};

/** The command line is wrong. */
export class UsageError extends MastvalveError {
	constructor(message: string) {
		super('usage', message);
		this.name = 'UsageError';
	}
}

/** Options that several commands take. */
export const commonOptions = {
	settings: {type: 'string', short: 's'},
	json: {type: 'boolean'},
	help: {type: 'boolean', short: 'h'},
} as const;

const formatUsage = (command: Command): string => `Usage: mastvalve ${command.name} ${command.usage}`;

/** Reads the arguments behind a command's name. */
export const readArgs = (command: Command, argv: readonly string[]): Result<CommandArgs, UsageError> => {
	try {
		const parsed = parseArgs({args: [...argv], options: {...command.options, help: commonOptions.help}, allowPositionals: true});
		const options = parsed.values as CommandArgs['options'];
		return options.help === true || parsed.positionals.length === command.positionals
			? ok({options, positionals: parsed.positionals})
			: err(new UsageError(`mastvalve ${command.name} takes ${command.positionals} arguments besides its options, and there are ${parsed.positionals.length}. ${formatUsage(command)}`));
	} catch (error) {
		return err(new UsageError(`${describeError(error)} ${formatUsage(command)}`));
	}
};

/** An option that must be there. */
export const requireOption = (args: CommandArgs, name: string): string => {
	const value = args.options[name];
	if (typeof value !== 'string' || value === '') {
		throw new UsageError(`--${name} is missing. Add --${name} VALUE; --help tells what it is.`);
	}

	return value;
};

/** An option that may be there. */
export const readOption = (args: CommandArgs, name: string): string | undefined => {
	const value = args.options[name];
	return typeof value === 'string' ? value : undefined;
};
