/**
 * The first configuration of a fleet with one service of engines.
 */

import {FleetCommandKind, type EngineSpec, type FleetCommand} from 'mastvalve-fleet';

/** Version 1, with the service `llm` and no routes. */
export const configureEngines = (engine: EngineSpec): FleetCommand => ({
	kind: FleetCommandKind.Configure,
	stated: {
		source: '',
		configuration: {
			version: 1,
			routes: [],
			limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			services: [{
				name: 'llm', healthPath: '/', maxConnections: 10, engine,
			}],
		},
	},
});
