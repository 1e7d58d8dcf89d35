/**
 * Reads the body of a caller's request, within bounds of size and time.
 */

import {BadRequestError} from 'mastvalve-types';
import {collectBytes, describeError} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {limitBytes} from './limit-bytes.js';

/** Bounds of a body. */
export type BodyBounds = {
	maxBytes: number;
	/** Time until it is whole, ms. */
	maxMs?: number;
};

/** Default time for a body, ms: 2 MB, the default of `max_body_bytes`, at 0.3 Mbit/s. */
const defaultBodyMs = 60_000;

const createTooLargeError = (maxBytes: number): BadRequestError =>
	new BadRequestError(`The body is larger than ${maxBytes} bytes. Nothing was run.`, 'body-too-large', 413);

/** The body, read without cancelling it beyond the bound: that would close the connection before the error is sent. */
const collectBody = async (req: Request, maxBytes: number): Promise<Uint8Array> => {
	const hasLength = req.headers.has('content-length') && !req.headers.has('transfer-encoding');
	return hasLength || !req.body
		? new Uint8Array(await req.arrayBuffer())
		: collectBytes(limitBytes(req.body.values({preventCancel: true}), maxBytes, () => createTooLargeError(maxBytes)), maxBytes);
};

/** Reads a body; what lies beyond its bounds is an error, and the connection is closed behind the answer. */
export const readBody = async (req: Request, {maxBytes, maxMs = defaultBodyMs}: BodyBounds): Promise<Result<Uint8Array, BadRequestError>> => {
	if (Number(req.headers.get('content-length') ?? 0) > maxBytes) {
		return err(createTooLargeError(maxBytes));
	}

	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<Result<Uint8Array, BadRequestError>>(resolve => {
		timer = setTimeout(() => {
			resolve(err(new BadRequestError(`The body was not whole within ${maxMs} ms. Nothing was run.`, 'body-too-slow', 408)));
		}, maxMs);
	});
	const read = collectBody(req, maxBytes).then(
		body => ok<Uint8Array, BadRequestError>(body),
		(error: unknown) => err(error instanceof BadRequestError ? error : new BadRequestError(`The body broke off: ${describeError(error)}. Nothing was run.`)),
	);
	const result = await Promise.race([read, late]);
	clearTimeout(timer);
	return result;
};
