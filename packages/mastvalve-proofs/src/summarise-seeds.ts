/**
 * What many seeds together say of the proofs.
 */

import {formatTable} from 'mastvalve-utils';
import {listShortcomings} from './run-proofs.js';
import type {ProofRow} from './proof.js';

/** What one seed gave; `failure` when it could not be run. */
export type SeedResult = {seed: number; rows: ProofRow[]; failure: string | undefined};

const keyOf = ({scenario, twin}: ProofRow): string => `${scenario} (${twin})`;

const sorted = (values: readonly number[]): number[] => values.toSorted((a, b) => a - b);

/** For each proof how many seeds it held on, on how many its twin was found, and after how many cases at the median and the latest. */
export const formatSummary = (results: readonly SeedResult[]): {text: string; hasPassed: boolean} => {
	const rows = results.flatMap(result => result.rows);
	const names = [...new Set(rows.map(row => keyOf(row)))];
	const table = formatTable([
		['proof (twin)', 'seeds', 'violated', 'twin unfound', 'found after, median', 'latest'],
		...names.map(name => {
			const own = rows.filter(row => keyOf(row) === name);
			const found = sorted(own.filter(row => row.brokenViolations > 0).map(row => row.brokenCases));
			const counts = [own.length, own.filter(row => row.realViolations > 0).length, own.filter(row => row.brokenViolations === 0).length, found[Math.floor(found.length / 2)] ?? 0, found.at(-1) ?? 0];
			return [name, ...counts.map(String)];
		}),
	]);
	const failing = results.flatMap(({seed, rows: own, failure}) => {
		const shortcomings = failure === undefined ? listShortcomings(own) : [failure];
		return shortcomings.map(shortcoming => `npm run proofs -- --seed ${seed}: ${shortcoming}`);
	});
	return {text: [table, `${results.length} seeds, ${failing.length} shortcomings`, ...failing].join('\n'), hasPassed: failing.length === 0};
};
