/**
 * A stand-in for the rate-limited weight store: so many loads start a second, so many run at full speed.
 */

import {waitFor} from 'mastvalve-utils';
import {createFakeApp, startFake} from './fake-server.js';

/** Options of a stand-in store. */
export type FakeWeightStoreOptions = {listen: string; seed: number; loadsPerSecond: number; parallelLoads: number; minLoadMs: number; maxLoadMs: number};

const millisPerSecond = 1000;

/** Starts a stand-in store: `GET /weights/NAME` answers when the load is done. */
export const startFakeWeightStore = async (options: FakeWeightStoreOptions) => {
	const {app, faults, random} = createFakeApp(options.seed);
	let nextStartAt = 0;
	let running = 0;
	let total = 0;
	app.get('/account', c => c.json({running, total}));
	app.get('/weights/:name', async c => {
		const now = performance.now();
		const startAt = Math.max(now, nextStartAt);
		nextStartAt = startAt + (millisPerSecond / options.loadsPerSecond);
		await waitFor(startAt - now);
		running += 1;
		total += 1;
		// Beyond the loads that run at full speed, all share the speed.
		const slowdown = Math.max(1, running / options.parallelLoads) * faults.loadSlowdown;
		await waitFor((options.minLoadMs + (random() * (options.maxLoadMs - options.minLoadMs))) * slowdown);
		running -= 1;
		return c.json({name: c.req.param('name')});
	});
	return startFake(app, options.listen, faults);
};
