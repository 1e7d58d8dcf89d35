/**
 * The key that a caller presents, read from the values of its `Authorization` fields (RFC 6750, section 2.1).
 *
 * One rule for odd forms: whatever is not exactly one field with the scheme `Bearer` and one key is malformed. Nothing is
 * guessed: of two fields, two proxies might believe different ones.
 */

import {digestKey} from './key-digest.js';

/** What a caller presents. */
export enum KeyKind {
	/** No field at all. */
	Absent = 'absent',
	/** Something that is not one key. */
	Malformed = 'malformed',
	/** One key. */
	Presented = 'presented',
}

/** The key, known by its digest. */
export type PresentedKey = {kind: KeyKind.Absent} | {kind: KeyKind.Malformed} | {kind: KeyKind.Presented; digest: string};

/** The scheme in any case, blanks, and a key without blanks of at most 4,096 characters; headers may be longer. */
const bearerPattern = /^bearer +(?<key>[\w\-.~+\/]{1,4096}=*)$/iv;

/** Reads the key. */
export const parsePresentedKey = (fields: readonly string[]): PresentedKey => {
	if (fields.length === 0) {
		return {kind: KeyKind.Absent};
	}

	const key = fields.length === 1 ? bearerPattern.exec(fields[0]?.trim() ?? '')?.groups?.key : undefined;
	return key === undefined ? {kind: KeyKind.Malformed} : {kind: KeyKind.Presented, digest: digestKey(key)};
};
