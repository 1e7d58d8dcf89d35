/**
 * Runs several entries that follow one control instance, and sends requests to them.
 */

import {request} from 'node:http';
import {PeerClient} from 'mastvalve-cluster';
import {SingleControl} from 'mastvalve-fakes/fleet';
import {RouteKind, type Route, type StatedConfiguration} from 'mastvalve-fleet';
import {createRandom, systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../../features/support/conditions.js';
import {findFreePorts} from '../../../../features/support/free-ports.js';
import {GatewayNode} from '../../src/index.js';
import {testDialect} from './running-gateway.js';

export type LoggedLine = {kind: string; fields: Record<string, unknown>};

/** Answer to a caller; status 0 when it is incomplete or missing. */
export type CallResult = {requestId: string; status: number; retryAfter: number | undefined; tookMs: number};

const createRoute = (kind: RouteKind): Route => ({
	name: kind, host: 'h', pathPrefix: `/${kind}/`, kind, timeoutMs: 2000, objectiveMs: 500, patienceMs: undefined, priority: 1, targets: [{service: 's', weight: 1}], maxAttempts: 2, isResumable: kind === RouteKind.Stream, isAnonymous: false,
});

const stated: StatedConfiguration = {
	configuration: {
		version: 1,
		routes: [RouteKind.Safe, RouteKind.Unsafe, RouteKind.Stream].map(kind => createRoute(kind)),
		services: [{name: 's', healthPath: '/', maxConnections: 100}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	},
	source: '{}',
};

type RunningEntry = {node: GatewayNode; address: string; client: PeerClient};

export class EntriesAndControl {
	static async open(count: number): Promise<EntriesAndControl> {
		const [port, ...ports] = await findFreePorts(count + 1);
		const single = await SingleControl.open(`127.0.0.1:${port}`);
		const fleet = new EntriesAndControl(single, `127.0.0.1:${port}`, ports.map(each => `127.0.0.1:${each}`));
		await waitUntil('the configuration is committed', async () => {
			const result = await single.control.configure(stated);
			return result.isOk();
		});
		await Promise.all(fleet.addresses.map(async (_, index) => fleet.startEntry(index)));
		return fleet;
	}

	readonly logged: LoggedLine[] = [];
	/** Index of the entry that was sent a request, by request id. */
	readonly entryOf = new Map<string, number>();
	/** Number of requests since an entry was last restarted. */
	callsSinceRestart = 0;
	private readonly entries: RunningEntry[] = [];
	private requests = 0;
	private hasEndedControl = false;

	private constructor(readonly single: SingleControl, private readonly controlAddress: string, private readonly addresses: string[]) {}

	get count(): number {
		return this.addresses.length;
	}

	/** Replaces an entry by a new one without state. */
	async restart(index: number): Promise<void> {
		await this.stopEntry(index);
		await this.startEntry(index);
		this.callsSinceRestart = 0;
	}

	/** Waits until every entry knows this number of endpoints. */
	async waitForEndpoints(count: number): Promise<void> {
		await waitUntil(`all entries know ${count} endpoints`, async () => this.entries.every(({node}) => node.view.listEndpoints('s').length === count));
	}

	/** `ip:port` of an entry. */
	addressOf(index: number): string {
		return this.addresses[index]!;
	}

	/** Ends an entry; it isn't replaced. */
	async end(index: number): Promise<void> {
		await this.stopEntry(index);
	}

	/** From now on, an entry applies nothing that control tells of the fleet. */
	stopHearing(index: number): void {
		this.entries[index]!.node.view.apply = () => undefined;
	}

	async call(index: number, path: string, body: string, headers: Record<string, string> = {}): Promise<CallResult> {
		this.requests += 1;
		this.callsSinceRestart += 1;
		const requestId = `request-${this.requests}`;
		this.entryOf.set(requestId, index);
		const [host, port] = this.addresses[index]!.split(':');
		const startedAt = systemClock.now();
		return new Promise<CallResult>(resolve => {
			const done = (status: number, retryAfter?: number): void => {
				resolve({
					requestId, status, retryAfter, tookMs: systemClock.now() - startedAt,
				});
			};

			const req = request({
				host, port, path, agent: false, method: 'POST', headers: {host: 'h', 'x-id': requestId, ...headers},
			}, res => {
				const retryAfter = res.headers['retry-after'];
				res.resume();
				res.on('error', () => undefined);
				res.once('end', () => {
					done(res.complete ? res.statusCode ?? 0 : 0, retryAfter === undefined ? undefined : Number(retryAfter));
				});
				res.once('close', () => {
					done(0);
				});
			});
			req.once('error', () => {
				done(0);
			});
			req.end(body);
		});
	}

	/** Ends control; it isn't replaced. */
	async endControl(): Promise<void> {
		if (!this.hasEndedControl) {
			this.hasEndedControl = true;
			await this.single.close();
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.addresses.map(async (_, index) => this.stopEntry(index)));
		await this.endControl();
	}

	private async startEntry(index: number): Promise<void> {
		const client = new PeerClient();
		const node = new GatewayNode({
			instance: `entry-${index}`,
			failureDomain: 'a',
			client,
			dialect: testDialect,
			clock: systemClock,
			random: createRandom(index + 1),
			log: (kind, fields) => {
				this.logged.push({kind, fields});
			},
			listSources: () => [this.controlAddress],
			distanceTo: () => 0,
			keyRevocationMs: undefined,
			limitWindowMs: 8000,
			hasContention: false,
			// The loop is busy with callers, control and endpoints too, so it tells nothing of the entry.
			readBusyMs: () => 0,
			retries: {ratio: 1, slack: 50, windowMs: 10_000},
		});
		const address = this.addresses[index]!;
		// While an entry is down, an outgoing connection may have been given its port.
		await waitUntil('the entry listens', async () => {
			const started = await node.start(address);
			return started.isOk();
		});
		this.entries[index] = {node, address, client};
		await waitUntil('the entry is ready', async () => node.isReady);
	}

	private async stopEntry(index: number): Promise<void> {
		const entry = this.entries[index];
		await entry?.node.stop(0);
		entry?.client.close();
	}
}
