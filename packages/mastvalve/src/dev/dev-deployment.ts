/**
 * The deployment of `mastvalve dev`: one control instance, one entry, three engines and two plain endpoints, with
 * stand-ins, all in this process.
 */

import {createServer} from 'node:net';
import {Program, type Instance, type Settings} from 'mastvalve-settings';
import {LogLevel, ServiceKind, type Intent} from 'mastvalve-types';

/** An address on loopback where nothing listens now. */
const findFreeAddress = async (): Promise<string> =>
	new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			server.close(() => {
				resolve(`127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`);
			});
		});
	});

const domains = ['dev-a', 'dev-b', 'dev-c'];

/** Endpoints of the deployment: where each stands in listens, by endpoint name. */
export type DevEndpoints = Array<{name: string; service: string; failureDomain: string; url: string; capacity: number}>;

/** What the engines hold, in the unit of the models' sizes. */
export const devCapacity = 160;

/** Names, services and places of the endpoints, before they listen. */
export const listDevEndpoints = (): Array<Omit<DevEndpoints[number], 'url'>> => [
	...domains.map((failureDomain, index) => ({
		name: `llm-${index + 1}`, service: 'llm', failureDomain, capacity: devCapacity,
	})),
	...domains.slice(0, 2).map((failureDomain, index) => ({
		name: `desk-${index + 1}`, service: 'desk', failureDomain, capacity: 0,
	})),
];

/** The settings. */
export const createDevSettings = async (entryListen: string, dataFolder: string, endpoints: DevEndpoints, platformList: string): Promise<Settings> => {
	const [controlListen = '', ...sidecarListens] = await Promise.all(['', ...endpoints].map(findFreeAddress));
	const control: Instance = {
		program: Program.Control, name: 'control-1', failureDomain: 'dev-a', listen: controlListen, upstreams: [], dataFolder,
	};
	const entry: Instance = {
		program: Program.Entry, name: 'entry-1', failureDomain: 'dev-a', listen: entryListen, upstreams: ['control-1'],
	};
	const sidecars = endpoints.map((endpoint, index): Instance => ({
		program: Program.Sidecar,
		name: endpoint.name,
		failureDomain: endpoint.failureDomain,
		listen: sidecarListens[index] ?? '',
		upstreams: ['entry-1', 'control-1'],
		service: endpoint.service,
		endpointUrl: endpoint.url,
		capacity: endpoint.capacity,
		fenced: true,
		maxRunning: 32,
		maxQueued: 128,
	}));
	return {
		deployment: 'dev',
		platformList,
		weightStore: {loadsPerSecond: 10, parallelLoads: 15},
		policy: {
			moveWeight: 0.2, ratePerReplica: 6, retryShare: 0.1, defaultDeadlineMs: 30_000, maxInFlight: 2000, maxBodyBytes: 2_000_000, maxAnswerBytes: 4_000_000, claimRetentionMs: 86_400_000,
		},
		logLevel: LogLevel.Error,
		instances: [control, entry, ...sidecars],
	};
};

/** The intent that is confirmed at the start. */
export const devIntent: Intent = {
	services: [
		{name: 'llm', kind: ServiceKind.Model, notRepeated: []},
		{name: 'desk', kind: ServiceKind.Plain, notRepeated: ['POST /loans']},
	],
	models: [
		{
			name: 'headings', service: 'llm', size: 65, adapters: [{name: 'headings-schools', size: 2}], minReplicas: 1,
		},
		{
			name: 'summaries', service: 'llm', size: 72, adapters: [], minReplicas: 1,
		},
		{
			name: 'questions', service: 'llm', size: 68, adapters: [], minReplicas: 1,
		},
	],
	events: [],
};
