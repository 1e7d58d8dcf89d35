/**
 * What all stand-ins share: a listening application and a way to end it.
 */

import {Hono} from 'hono';
import {startServer, type RunningServer} from 'mastvalve-http';
import {createRandom, type Random} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import type {MastvalveError} from 'mastvalve-types';
import {noFaults, type Faults} from './faults.js';

/** A running stand-in. */
export type RunningFake = RunningServer & {faults: Faults};

/** An application with a route that sets its faults. */
export const createFakeApp = (seed: number): {app: Hono; faults: Faults; random: Random} => {
	const app = new Hono();
	const faults = {...noFaults};
	app.post('/faults', async c => {
		Object.assign(faults, await c.req.json());
		return c.json(faults);
	});
	return {app, faults, random: createRandom(seed)};
};

/** Starts a stand-in. */
export const startFake = async (app: Hono, listen: string, faults: Faults): Promise<Result<RunningFake, MastvalveError>> => {
	const started = await startServer(app, listen);
	return started.map(server => ({...server, faults}));
};

/** An answer that breaks its connection, so that the other side learns nothing. */
export const breakConnection = (): Response =>
	new Response(new ReadableStream({
		start(controller) {
			controller.error(new Error('broken on demand'));
		},
	}));
