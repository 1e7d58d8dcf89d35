/**
 * Reading TOML with the place of every key, going on after syntax errors so that all of them are found at once.
 */

import type {Finding} from 'mastvalve-types';
import {
	getStaticTOMLValue, parseTOML, ParseError, type AST,
} from 'toml-eslint-parser';

/** A place in a file, counted from 1. */
export type Place = {line: number; column: number};

/** What a TOML file holds. */
export type TomlDocument = {
	file: string;
	value: unknown;
	/** Place of each key by its path, such as `instances[2].listen`. */
	places: Map<string, Place>;
	/** Syntax errors. */
	findings: Finding[];
};

/** Syntax errors after which reading stops. */
const maxSyntaxFindings = 50;

/** Writes a path as people read it. */
export const formatPath = (path: ReadonlyArray<string | number>): string =>
	path.reduce<string>((text, part) => (typeof part === 'number' ? `${text}[${part}]` : (text ? `${text}.${part}` : part)), '');

type Path = Array<string | number>;

const placeOf = (node: AST.TOMLNode): Place => ({line: node.loc.start.line, column: node.loc.start.column + 1});

const keyParts = (key: AST.TOMLKey): string[] => key.keys.map(part => (part.type === 'TOMLBare' ? part.name : part.value));

const collectValue = (node: AST.TOMLContentNode, path: Path, places: Map<string, Place>): void => {
	if (node.type === 'TOMLArray') {
		node.elements.forEach((element, index) => {
			places.set(formatPath([...path, index]), placeOf(element));
			collectValue(element, [...path, index], places);
		});
	} else if (node.type === 'TOMLInlineTable') {
		node.body.forEach(entry => {
			collectKeyValue(entry, path, places);
		});
	}
};

const collectKeyValue = (node: AST.TOMLKeyValue, base: Path, places: Map<string, Place>): void => {
	const path = [...base, ...keyParts(node.key)];
	places.set(formatPath(path), placeOf(node.key));
	collectValue(node.value, path, places);
};

const collectPlaces = (program: AST.TOMLProgram): Map<string, Place> => {
	const places = new Map<string, Place>([['', {line: 1, column: 1}]]);
	program.body[0].body.forEach(node => {
		if (node.type === 'TOMLKeyValue') {
			collectKeyValue(node, [], places);
			return;
		}

		places.set(formatPath(node.resolvedKey), placeOf(node));
		node.body.forEach(entry => {
			collectKeyValue(entry, node.resolvedKey, places);
		});
	});
	return places;
};

const toSyntaxFinding = (file: string, err: ParseError): Finding => ({
	file,
	line: err.lineNumber,
	column: err.column + 1,
	key: '',
	found: err.message,
	allowed: 'valid TOML 1.0',
});

/** Reads a TOML text. A line with a syntax error is set aside, and reading starts again without it. */
export const readToml = (file: string, text: string): TomlDocument => {
	const lines = text.split('\n');
	const findings: Finding[] = [];
	while (findings.length < maxSyntaxFindings) {
		try {
			const program = parseTOML(lines.join('\n'), {tomlVersion: '1.0'});
			return {
				file, value: getStaticTOMLValue(program), places: collectPlaces(program), findings,
			};
		} catch (error) {
			if (!(error instanceof ParseError)) {
				throw error;
			}

			findings.push(toSyntaxFinding(file, error));
			lines[error.lineNumber - 1] = '';
		}
	}

	return {
		file, value: {}, places: new Map(), findings,
	};
};
