/**
 * Writing to the terminal.
 */

import process from 'node:process';

/** Writes a line of data to standard output. */
export const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Writes data as JSON to standard output. */
export const printJson = (value: unknown): void => {
	print(JSON.stringify(value, undefined, '\t'));
};

/** Writes a line for people to standard error. */
export const printError = (line: string): void => {
	process.stderr.write(`${line}\n`);
};
