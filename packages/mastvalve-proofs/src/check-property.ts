/**
 * Runs a property with fast-check and counts.
 */

import fc from 'fast-check';
import {describeError} from 'mastvalve-utils';
import {Variant, type ProofOutcome, type ProofRun} from './proof.js';

/** Checks that `holds` throws for no value. A counterexample of the real thing is shrunk; finding the twin's is enough. */
export const checkProperty = async <T>(
	arbitrary: fc.Arbitrary<T>,
	holds: (value: T) => void | Promise<void>,
	{seed, cases, variant}: ProofRun & {variant: Variant},
): Promise<ProofOutcome> => {
	const details = await fc.check(fc.asyncProperty(arbitrary, async value => holds(value)), {seed, numRuns: cases, endOnFailure: variant === Variant.Broken});
	return details.failed
		? {cases: details.numRuns, violations: 1, counterexample: `${describeError(details.errorInstance)} in ${fc.stringify(details.counterexample).slice(0, 600)}`}
		: {cases: details.numRuns, violations: 0};
};
