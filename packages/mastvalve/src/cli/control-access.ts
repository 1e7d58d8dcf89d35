/**
 * How operators' commands reach control.
 */

import {randomUUID} from 'node:crypto';
import {ControlClient} from 'mastvalve-control';
import {Program, type Settings} from 'mastvalve-settings';
import {HybridClock, systemClock} from 'mastvalve-utils';
import type {MastvalveError} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {readOption, requireOption, type CommandArgs} from './command.js';
import {loadSettings} from './files.js';

const operatorCallMs = 15_000;

/** A client for the control group in the settings. */
export const createControlAccess = (settings: Settings): ControlClient =>
	new ControlClient(
		settings.instances.filter(instance => instance.program === Program.Control).map(instance => ({name: instance.name, url: `http://${instance.listen}`})),
		new HybridClock(systemClock.wall),
		operatorCallMs,
	);

/** A client for the control group that `--settings` names. */
export const openControl = async (args: CommandArgs): Promise<ControlClient> => createControlAccess(await loadSettings(requireOption(args, 'settings')));

/** The id under which a request can be resent. */
export const chooseRequestId = (args: CommandArgs): string => readOption(args, 'request-id') ?? randomUUID();

/** The value, or the error thrown to the bin, which prints it and sets the exit code. */
export const unwrap = <T>(result: Result<T, MastvalveError>): T =>
	result.match(value => value, error => {
		throw error;
	});
