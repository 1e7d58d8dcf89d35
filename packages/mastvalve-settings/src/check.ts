/**
 * Checking a TOML document against a schema; each issue becomes a finding with its place.
 */

import {assumeType} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {Finding} from 'mastvalve-types';
import type {z} from 'zod';
import {
	formatPath, readToml, type Place, type TomlDocument,
} from './toml-document.js';

/** Path of a key: names of tables, indexes of arrays. */
export type Path = Array<string | number>;

const toPath = (path: readonly PropertyKey[]): Path => path.map(part => (typeof part === 'symbol' ? String(part) : part));

/** The place of a key, or of the nearest table above it. */
const findPlace = (document: TomlDocument, path: Path): Place => {
	const place = document.places.get(formatPath(path));
	return place ?? (path.length === 0 ? {line: 1, column: 1} : findPlace(document, path.slice(0, -1)));
};

const valueAt = (value: unknown, path: Path): unknown =>
	path.reduce<unknown>((current, part) => assumeType<Record<string | number, unknown> | undefined>(current)?.[part], value);

const describeFound = (value: unknown): string => {
	if (value === undefined) {
		return 'nothing';
	}

	const text = JSON.stringify(value, (_key, item: unknown) => (typeof item === 'bigint' ? Number(item) : item));
	return text.length > 60 ? `${text.slice(0, 57)}...` : text;
};

const describeAllowed = (issue: z.core.$ZodIssue): string => {
	// Issues of other kinds carry their own words.
	// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
	switch (issue.code) {
		case 'invalid_type': {
			return `a value of type ${issue.expected}`;
		}

		case 'invalid_value': {
			return `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`;
		}

		case 'too_small': {
			const units: Readonly<Record<string, string>> = {string: ' characters', array: ' items'};
			return `${issue.inclusive === false ? 'more than' : 'at least'} ${String(issue.minimum)}${units[issue.origin] ?? ''}`;
		}

		case 'too_big': {
			return `at most ${String(issue.maximum)}`;
		}

		case 'invalid_union': {
			return issue.message.replace(/^.*Expected /v, 'one of ');
		}

		default: {
			return issue.message;
		}
	}
};

const createFinding = (document: TomlDocument, path: Path, allowed: string): Finding => ({
	file: document.file,
	...findPlace(document, path),
	key: formatPath(path),
	found: describeFound(valueAt(document.value, path)),
	allowed,
});

const toFindings = (document: TomlDocument, issue: z.core.$ZodIssue): Finding[] => {
	const path = toPath(issue.path);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			file: document.file,
			...findPlace(document, [...path, key]),
			key: formatPath([...path, key]),
			found: 'an unknown key',
			allowed: 'only keys that docs/operations/settings.md lists here',
		}));
	}

	return [createFinding(document, path, describeAllowed(issue))];
};

const comparePlaces = (a: Finding, b: Finding): number => a.line - b.line || a.column - b.column;

/** Something that one part of a file says against another. */
export type CrossIssue = {path: Path; allowed: string};

/** Looks for such issues; it gets the file's value before it is known to be valid, so that all findings come at once. */
export type CrossCheck = (value: unknown) => CrossIssue[];

/** Checks a TOML text; all findings come together, in the order of the file. */
export const checkToml = <Schema extends z.ZodType>(
	file: string,
	text: string,
	schema: Schema,
	crossCheck: CrossCheck,
): Result<z.output<Schema>, Finding[]> => {
	const document = readToml(file, text);
	const parsed = schema.safeParse(document.value);
	const findings = [
		...document.findings,
		...(parsed.success ? [] : parsed.error.issues.flatMap(issue => toFindings(document, issue))),
		...crossCheck(document.value).map(({path, allowed}) => createFinding(document, path, allowed)),
	];
	return parsed.success && findings.length === 0 ? ok(parsed.data) : err(findings.toSorted(comparePlaces));
};

/** One line for people: place, key, what was found and what is allowed. */
export const formatFinding = (finding: Finding): string =>
	`${finding.file}:${finding.line}:${finding.column}: ${finding.key || '(file)'}: found ${finding.found}; allowed: ${finding.allowed}`;
