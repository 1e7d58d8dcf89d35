/**
 * Control of one instance, for those who follow it: a group of its own, with a log in a temporary folder and no engines.
 */

import {mkdtemp, rm} from 'node:fs/promises';
import type {Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PeerClient, startPeerServer} from 'mastvalve-cluster';
import {FleetControl, OrderOutcome} from 'mastvalve-fleet-control';
import {systemClock} from 'mastvalve-utils';

/** Nothing that it follows sends heartbeats, ms. */
const heartbeatMs = 60_000;
const orderLeaseMs = 3000;
const storeWindowMs = 5000;

/** The instance. */
export class SingleControl {
	/** `address` is what others know it by, `listen` where it listens; both `ip:port`. */
	static async open(address: string, listen = address): Promise<SingleControl> {
		const folder = await mkdtemp(join(tmpdir(), 'mastvalve-single-'));
		const client = new PeerClient();
		const control = await FleetControl.open({
			address,
			dataFolder: folder,
			isFirstStart: true,
			readSeeds: () => [address],
			voterCount: 1,
			client,
			clock: systemClock,
			heartbeatMs,
			orderLeaseMs,
			storeWindowMs,
			mustProveKeys: true,
			limitTolerance: {windowMs: 8000, overage: 0.1, slack: 0},
			engines: {sendOrder: async () => OrderOutcome.Absent, readStatus: async () => undefined},
			onEvent: () => undefined,
			onError: () => undefined,
		});
		const listening = await startPeerServer(listen, new Map(control.handlers()), () => undefined);
		void control.run();
		return new SingleControl(control, folder, client, listening._unsafeUnwrap());
	}

	private constructor(readonly control: FleetControl, private readonly folder: string, private readonly client: PeerClient, private readonly server: Server) {}

	async close(): Promise<void> {
		await this.control.stop();
		this.server.close();
		this.server.closeAllConnections();
		this.client.close();
		await rm(this.folder, {recursive: true, force: true});
	}
}
