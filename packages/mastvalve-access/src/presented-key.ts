/**
 * Parses the key that a caller presents in its `Authorization` header fields (RFC 6750, section 2.1).
 *
 * Anything but exactly one field with the scheme `Bearer` and one key is malformed. Ambiguous input is not interpreted: of two fields, two
 * proxies might use different ones.
 */

import {digestKey} from './key-digest.js';

export enum KeyKind {
	/** The request has no such field. */
	Absent = 'absent',
	/** The field does not hold exactly one key. */
	Malformed = 'malformed',
	Presented = 'presented',
}

/** Result of parsing; a valid key is represented by its digest. */
export type PresentedKey = {kind: KeyKind.Absent} | {kind: KeyKind.Malformed} | {kind: KeyKind.Presented; digest: string};

/** The scheme in any case, spaces, and a key without spaces of at most 4,096 characters; headers may be longer. */
const bearerPattern = /^bearer +(?<key>[\w\-.~+\/]{1,4096}=*)$/iv;

export const parsePresentedKey = (fields: readonly string[]): PresentedKey => {
	if (fields.length === 0) {
		return {kind: KeyKind.Absent};
	}

	const key = fields.length === 1 ? bearerPattern.exec(fields[0]?.trim() ?? '')?.groups?.key : undefined;
	return key === undefined ? {kind: KeyKind.Malformed} : {kind: KeyKind.Presented, digest: digestKey(key)};
};
