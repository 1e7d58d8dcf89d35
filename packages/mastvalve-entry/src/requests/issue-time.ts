/**
 * When an idempotency key was issued: from its header, or from the key itself when that is a version 7 UUID.
 */

import {Header} from 'mastvalve-http';
import {BadRequestError} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {validate, version} from 'uuid';

const timestampDigits = 12;
const maxKeyLength = 200;

/** Issue time in ms since the epoch. Without one a repeat could not be told from a new call after the key is forgotten. */
export const readIssueTime = (key: string, header: string | undefined): Result<number, BadRequestError> => {
	if (key.length === 0 || key.length > maxKeyLength) {
		return err(new BadRequestError(`${Header.IdempotencyKey} must have 1 to ${maxKeyLength} characters.`));
	}

	if (header !== undefined) {
		const time = /^\d+$/v.test(header) ? Number(header) : Date.parse(header);
		return Number.isFinite(time)
			? ok(time)
			: err(new BadRequestError(`${Header.KeyIssuedAt} is "${header.slice(0, 40)}"; give RFC 3339 or ms since the epoch.`));
	}

	return validate(key) && version(key) === 7
		? ok(Number.parseInt(key.replaceAll('-', '').slice(0, timestampDigits), 16))
		: err(new BadRequestError(`The key does not tell when it was issued. Use a version 7 UUID as ${Header.IdempotencyKey}, or add ${Header.KeyIssuedAt}, and keep both for repeats.`));
};
