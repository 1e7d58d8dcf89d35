/**
 * A stand-in for the platform's list of live and leaving instances, which shows changes only after a while.
 */

import {createFakeApp, startFake} from './fake-server.js';

/** Options of a stand-in list. */
export type FakePlatformListOptions = {listen: string; seed: number; lagMs: number; initial: string[]};

type Line = {id: string; state: 'live' | 'leaving'};

/** Starts a stand-in list: `PUT /instances/ID` with a state, `DELETE /instances/ID`, `GET /instances`. */
export const startFakePlatformList = async ({listen, seed, lagMs, initial}: FakePlatformListOptions) => {
	const {app, faults} = createFakeApp(seed);
	const shown = new Map<string, Line>(initial.map(id => [id, {id, state: 'live'}]));
	const showLater = (change: () => void): void => {
		setTimeout(change, lagMs).unref();
	};

	app.get('/instances', c => c.json([...shown.values()]));
	app.put('/instances/:id', async c => {
		const id = c.req.param('id');
		const {state} = await c.req.json<{state: Line['state']}>();
		showLater(() => {
			shown.set(id, {id, state});
		});
		return c.json({accepted: true});
	});
	app.delete('/instances/:id', c => {
		const id = c.req.param('id');
		showLater(() => {
			shown.delete(id);
		});
		return c.json({accepted: true});
	});
	return startFake(app, listen, faults);
};
