/**
 * When what an engine says of itself may be taken for all there is.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {EngineStatus} from './engine-port.js';

export const isSameSet = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every(item => b.includes(item));

/** Whether no order is under way, and the log says the same as the engine. */
export const isSettled = ({isBusy, loadingAdapters, holds}: EngineStatus, endpoint: FleetEndpoint): boolean =>
	!isBusy && loadingAdapters.length === 0 && isSameSet(holds.map(({name}) => name), endpoint.holds.map(({name}) => name));
