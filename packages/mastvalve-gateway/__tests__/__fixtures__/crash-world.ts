/**
 * State of a scenario with crashing engines.
 */

import type {World} from '@cucumber/cucumber';
import type {CrashingEngines} from './crashing-engines.js';
import type {CallResult, EntriesAndControl} from './entries-and-control.js';

export type CrashWorld = World & {
	following: EntriesAndControl;
	crashingEngines: CrashingEngines;
	crashing: CallResult[];
	others: CallResult[];
};
