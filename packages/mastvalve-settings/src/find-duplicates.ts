/**
 * Names that are used twice.
 */

import type {CrossIssue, Path} from './check.js';

/** A name with its place. */
export type PlacedName = {name: string | undefined; path: Path};

/** An issue for each name that stands above already. */
export const findDuplicates = (names: readonly PlacedName[]): CrossIssue[] =>
	names
		.filter(({name}, index) => name !== undefined && names.findIndex(other => other.name === name) < index)
		.map(({name, path}) => ({path, allowed: `a value that is used once; "${name ?? ''}" stands above already`}));
