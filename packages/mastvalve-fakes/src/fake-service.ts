/**
 * A stand-in for a plain service whose effects can be counted, such as recording a loan.
 */

import {waitFor} from 'mastvalve-utils';
import {breakConnection, createFakeApp, startFake} from './fake-server.js';
import {strikes} from './faults.js';

/** Options of a stand-in service. */
export type FakeServiceOptions = {listen: string; seed: number};

/** Starts a stand-in service: any POST has one effect, named by its body; `GET /effects` counts them. */
export const startFakeService = async ({listen, seed}: FakeServiceOptions) => {
	const {app, faults, random} = createFakeApp(seed);
	const effects = new Map<string, number>();
	app.get('/effects', c => c.json(Object.fromEntries(effects)));
	app.get('/*', async c => {
		await waitFor(faults.callDelayMs);
		return c.json({path: c.req.path, found: true});
	});
	app.post('/*', async c => {
		const body = await c.req.text();
		await waitFor(faults.callDelayMs);
		const name = `${c.req.path} ${body}`;
		effects.set(name, (effects.get(name) ?? 0) + 1);
		return strikes(faults.breakAfterEffect, random) ? breakConnection() : c.json({path: c.req.path, number: effects.size}, 201);
	});
	return startFake(app, listen, faults);
};
