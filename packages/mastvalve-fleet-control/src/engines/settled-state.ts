/**
 * Decides whether the status of an engine is a complete account of what it holds.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {EngineStatus} from './engine-port.js';

export const isSameSet = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every(item => b.includes(item));

/** Whether no order is in progress and the log matches the engine's own status. */
export const isSettled = ({isBusy, loadingAdapters, holds}: EngineStatus, endpoint: FleetEndpoint): boolean =>
	!isBusy && loadingAdapters.length === 0 && isSameSet(holds.map(({name}) => name), endpoint.holds.map(({name}) => name));
