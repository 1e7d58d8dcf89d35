/**
 * What every running program has: its identity, clocks, log, time line and metrics.
 */

import {createLogger, Timeline, type Logger} from 'mastvalve-logger';
import type {InstanceIdentity, LogLevel} from 'mastvalve-types';
import {HybridClock, systemClock, type Clock} from 'mastvalve-utils';
import {Registry} from 'prom-client';

/** Shared by all parts of one program. */
export type ProgramContext = {
	identity: InstanceIdentity;
	clock: Clock;
	hybridClock: HybridClock;
	logger: Logger;
	timeline: Timeline;
	registry: Registry;
};

/** Makes the context of a program. */
export const createProgramContext = (identity: InstanceIdentity, level: LogLevel, clock: Clock = systemClock): ProgramContext => {
	const logger = createLogger(identity, level);
	const hybridClock = new HybridClock(clock.wall);
	const registry = new Registry();
	registry.setDefaultLabels({instance: identity.instance, failure_domain: identity.failureDomain});
	return {
		identity, clock, hybridClock, logger, timeline: new Timeline(identity, hybridClock, logger), registry,
	};
};
