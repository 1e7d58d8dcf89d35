/**
 * Runs proofs, each with its broken twin and with the real decisions.
 */

import {formatTable} from 'mastvalve-utils';
import {
	Property, Variant, type Proof, type ProofRow, type ProofRun,
} from './proof.js';

/** Runs one proof both ways. */
export const runProof = async (proof: Proof, run: ProofRun): Promise<ProofRow> => {
	const broken = await proof.run(Variant.Broken, run);
	const real = await proof.run(Variant.Real, run);
	const {property, failure, scenario, twin} = proof;
	return {
		property, failure, scenario, twin, cases: real.cases, brokenCases: broken.cases, brokenViolations: broken.violations, realViolations: real.violations, counterexample: real.counterexample,
	};
};

/** Why a set of rows doesn't count as a proof; empty when it does. */
export const listShortcomings = (rows: readonly ProofRow[]): string[] => {
	const properties = Object.values(Property).filter(value => typeof value === 'number');
	const missing = properties.filter(property => !rows.some(row => row.property === property)).map(property => `property ${property} has no row`);
	const blind = rows.filter(row => row.brokenViolations === 0).map(row => `"${row.scenario}" does not find its twin: ${row.twin}`);
	const violated = rows.filter(row => row.realViolations > 0).map(row => `"${row.scenario}" is violated: ${row.counterexample ?? ''}`);
	return [...missing, ...blind, ...violated];
};

/** Rows as a table for people. */
export const formatRows = (rows: readonly ProofRow[]): string => {
	const cells = [
		['property', 'failure', 'scenario', 'cases', 'violations of the twin', 'violations'],
		...rows.map(row => [`${row.property} ${Property[row.property]}`, row.failure, row.scenario, String(row.cases), `${row.brokenViolations} (${row.twin})`, String(row.realViolations)]),
	];
	return formatTable(cells);
};
