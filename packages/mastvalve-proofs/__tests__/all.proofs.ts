/**
 * All proofs, in the order of the properties.
 */

import type {Proof} from '../src/index.js';
import {accessProofs} from './access.proofs.js';
import {answersProofs} from './answers.proofs.js';
import {claimsProofs} from './claims.proofs.js';
import {configurationProofs} from './configuration.proofs.js';
import {endpointLimitsProofs} from './endpoint-limits.proofs.js';
import {engineRoomProofs} from './engine-room.proofs.js';
import {formationProofs} from './formation.proofs.js';
import {incarnationProofs} from './incarnations.proofs.js';
import {logProofs} from './log.proofs.js';
import {memoryProofs} from './memory.proofs.js';
import {placementProofs} from './placement.proofs.js';

/** The proofs. */
export const allProofs: Proof[] = [
	...memoryProofs,
	...engineRoomProofs,
	...endpointLimitsProofs,
	...placementProofs,
	...answersProofs,
	...claimsProofs,
	...incarnationProofs,
	...configurationProofs,
	...accessProofs,
	...logProofs,
	...formationProofs,
].toSorted((a, b) => a.property - b.property);
