/**
 * `npm run bench -- followers`: how long many entries behind slow links take until all serve by a change of the
 * configuration, and what crosses the links, at several sizes.
 */

import process from 'node:process';
import {PeerClient} from 'mastvalve-cluster';
import {SlowLink} from 'mastvalve-fakes';
import {createRoutes, createStated, SingleControl} from 'mastvalve-fakes/fleet';
import type {Route} from 'mastvalve-fleet';
import {FleetFollower, FleetView} from 'mastvalve-gateway';
import {systemClock, waitFor} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {quantile} from '../statistics.js';

/** The slowest links met, 7 Mbit/s, in bytes a second. */
const bytesPerSecond = 875_000;
const pollMs = 5;
const limitMs = 60_000;
/** Ports of the bench: control's own, then one for each link. */
const firstPort = 21_000;

/** One entry's following side. */
type Entry = {view: FleetView; link: SlowLink; client: PeerClient; ending: AbortController};

/** Control of one instance, and entries that follow it. */
class FollowersBench {
	static async open(): Promise<FollowersBench> {
		return new FollowersBench(await SingleControl.open(`127.0.0.1:${firstPort}`));
	}

	entries: Entry[] = [];
	private version = 0;

	private constructor(private readonly single: SingleControl) {}

	/** Puts a configuration in force; resolves when it is committed. */
	async configure(routes: Route[]): Promise<void> {
		this.version += 1;
		const stated = createStated(this.version, routes, JSON.stringify(routes));
		let result = await this.single.control.configure(stated);
		while (result.isErr()) {
			// A group of one elects itself soon.
			// eslint-disable-next-line no-await-in-loop
			await waitFor(pollMs);
			// eslint-disable-next-line no-await-in-loop
			result = await this.single.control.configure(stated);
		}
	}

	/** Begins entries that know nothing. */
	async begin(count: number): Promise<void> {
		this.entries = await Promise.all(Array.from({length: count}, async (_, index) => this.beginOne(firstPort + 1 + index)));
	}

	/** Time until each entry serves by the newest version, ms; and bytes over each link since the call. */
	async measure(act: () => Promise<void>): Promise<{ms: number[]; bytes: number[]; cpuMs: number}> {
		const cpu = process.cpuUsage();
		await act();
		const from = systemClock.now();
		const before = this.entries.map(({link}) => link.bytesBack);
		const ms = await Promise.all(this.entries.map(async ({view}) => {
			while (view.configuration?.version !== this.version && systemClock.now() - from < limitMs) {
				// eslint-disable-next-line no-await-in-loop
				await waitFor(pollMs);
			}

			return view.configuration?.version === this.version ? systemClock.now() - from : Number.POSITIVE_INFINITY;
		}));
		const {user, system} = process.cpuUsage(cpu);
		return {ms, bytes: this.entries.map(({link}, index) => link.bytesBack - (before[index] ?? 0)), cpuMs: (user + system) / 1000};
	}

	/** Ends all entries. */
	end(): void {
		this.entries.forEach(({link, client, ending}) => {
			ending.abort();
			link.close();
			client.close();
		});
		this.entries = [];
	}

	async close(): Promise<void> {
		this.end();
		await this.single.close();
	}

	private async beginOne(port: number): Promise<Entry> {
		const near = `127.0.0.1:${port}`;
		const link = await SlowLink.open(near, `127.0.0.1:${firstPort}`, bytesPerSecond);
		const client = new PeerClient();
		const view = new FleetView(() => systemClock.now());
		const ending = new AbortController();
		// Control names its own address, which leads past the link: it counts as farthest.
		const follower = new FleetFollower({
			client, view, listSources: () => [near], distanceTo: address => (address === near ? 0 : 1), access: {canAuthorize: true, recordAnswer: () => undefined}, now: () => systemClock.now(), onEvent: () => undefined,
		});
		void follower.run(ending.signal);
		return {
			view, link, client, ending,
		};
	}
}

const toRow = (followers: number, routes: number, what: string, {ms, bytes, cpuMs}: {ms: number[]; bytes: number[]; cpuMs: number}): string[] =>
	[String(followers), String(routes), what, quantile(ms, 0.5).toFixed(0), Math.max(...ms).toFixed(0), (quantile(bytes, 0.5) / 1000).toFixed(1), (cpuMs / followers).toFixed(1)];

/** The tables. All parts share one process, so processor time is that of control, links and entries together. */
export const benchFollowers = async (): Promise<BenchTable[]> => {
	const rows: string[][] = [];
	for (const followers of [30, 100, 300]) {
		for (const routes of [1400, 5600]) {
			/* eslint-disable no-await-in-loop */
			const bench = await FollowersBench.open();
			await bench.configure(createRoutes(routes, 0));
			const begun = await bench.measure(async () => bench.begin(followers));
			const one = await bench.measure(async () => bench.configure(createRoutes(routes, 1)));
			const many = await bench.measure(async () => bench.configure(createRoutes(routes, 1400)));
			rows.push(
				toRow(followers, routes, 'all begin anew', begun),
				toRow(followers, routes, 'one route changes', one),
				toRow(followers, routes, '1,400 routes change', many),
			);
			await bench.close();
			/* eslint-enable no-await-in-loop */
		}
	}

	return [{
		title: 'entries that follow one control instance over links of 7 Mbit/s each: time until the newest version is in force (from its commit, or from the start), and bytes over an entry\'s link; median of all entries, and the last',
		rows: [['entries', 'routes', 'what', 'ms', 'last ms', 'KB a link', 'processor ms an entry'], ...rows],
	}];
};
