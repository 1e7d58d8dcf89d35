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

/** Aligns rows in columns. */
export const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => (row[column] ?? '').length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n');
};
