/**
 * Reads the platform's list of instances, which another system answers: what it sends is bounded, and a list that can't be read is none.
 */

import {limitBytes} from 'mastvalve-http';
import {assumeType, collectText, describeError} from 'mastvalve-utils';
import {fetch as undiciFetch} from 'undici';
import type {ListedInstance} from './endpoint-watch.js';

/** Time for the whole list, ms. */
const listCallMs = 1000;
/** Bytes of a list: 10,000 instances of 100 bytes. */
const maxListBytes = 1_048_576;

const readList = async (url: string): Promise<ListedInstance[]> => {
	const res = await undiciFetch(url, {signal: AbortSignal.timeout(listCallMs)});
	if (!res.ok || !res.body) {
		await res.body?.cancel();
		throw new Error(`it answers ${res.status}`);
	}

	const text = await collectText(limitBytes(res.body, maxListBytes, () => new Error(`it is larger than ${maxListBytes} bytes`)), maxListBytes);
	const list: unknown = JSON.parse(text);
	if (!Array.isArray(list)) {
		throw new TypeError('it is no list');
	}

	return assumeType<ListedInstance[]>(list);
};

/** Fetches the list at `http://ip:port`; undefined when it can't be had, with the reason for the log. */
export const fetchList = async (platformList: string, log: (message: string) => void): Promise<ListedInstance[] | undefined> => {
	const url = `${platformList}/instances`;
	try {
		return await readList(url);
	} catch (error) {
		log(`the platform's list at ${url} can't be read: ${describeError(error)}`);
		return undefined;
	}
};
