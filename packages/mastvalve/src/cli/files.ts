/**
 * Files that people write, read and checked for commands.
 */

import {readFile} from 'node:fs/promises';
import {readIntent, readSettings, type Settings} from 'mastvalve-settings';
import {MastvalveError, type Finding, type Intent} from 'mastvalve-types';
import {describeError} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {UsageError} from './command.js';

/** A file has findings. */
export class FindingsError extends MastvalveError {
	constructor(readonly findings: Finding[]) {
		super('findings', `${findings.length} findings. Mend all of them and try again; nothing was changed.`);
		this.name = 'FindingsError';
	}
}

/** Reads a text file. */
export const loadText = async (file: string): Promise<string> =>
	readFile(file, 'utf8').catch((error: unknown) => {
		throw new UsageError(`${file} can't be read: ${describeError(error)}.`);
	});

const orThrow = <T>(result: Result<T, Finding[]>): T =>
	result.match(value => value, findings => {
		throw new FindingsError(findings);
	});

/** Reads and checks settings. */
export const loadSettings = async (file: string): Promise<Settings> => orThrow(readSettings(file, await loadText(file)));

/** Reads and checks an intent. */
export const loadIntent = async (file: string): Promise<Intent> => orThrow(readIntent(file, await loadText(file)));
