/**
 * `npm run proofs`: runs all proofs with their broken twins, prints a row for each, ends with 1 if any falls short. With `--seeds N` it
 * runs them on as many seeds that nobody has chosen, several at a time, and prints one summary.
 */

import {execFile} from 'node:child_process';
import {availableParallelism} from 'node:os';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	formatRows, formatSummary, listShortcomings, runProof, type ProofRow, type SeedResult,
} from 'mastvalve-proofs';
import {assumeType} from 'mastvalve-utils';
import {allProofs} from '../packages/mastvalve-proofs/__tests__/all.proofs.js';

const {values} = parseArgs({
	options: {
		json: {type: 'boolean'}, seed: {type: 'string', default: '1'}, cases: {type: 'string', default: '200'}, seeds: {type: 'string'}, jobs: {type: 'string', default: String(Math.max(1, Math.floor(availableParallelism() / 2)))},
	},
});

/** What a process prints of one seed, bytes at the most. */
const maxOutputBytes = 10_000_000;
const maxSeed = 2_147_483_647;

const runSeed = async (seed: number, cases: number): Promise<ProofRow[]> => {
	const rows: ProofRow[] = [];
	for (const proof of allProofs) {
		// One after the other, so that each has the processor for itself.
		// eslint-disable-next-line no-await-in-loop
		rows.push(await runProof(proof, {seed, cases}));
	}

	return rows;
};

const runOneSeed = async (seed: number, cases: number): Promise<boolean> => {
	const rows = await runSeed(seed, cases);
	const shortcomings = listShortcomings(rows);
	const json = JSON.stringify({
		seed, cases, rows, shortcomings,
	}, undefined, '\t');
	process.stdout.write(values.json ? `${json}\n` : `seed ${seed}\n${formatRows(rows)}\n${shortcomings.join('\n')}\n`);
	return shortcomings.length === 0;
};

const runElsewhere = async (seed: number, cases: string): Promise<SeedResult> =>
	new Promise(resolve => {
		execFile(process.execPath, ['--import', 'tsx', 'scripts/proofs.ts', '--json', '--seed', String(seed), '--cases', cases], {maxBuffer: maxOutputBytes}, (error, stdout) => {
			try {
				resolve({seed, rows: assumeType<{rows: ProofRow[]}>(JSON.parse(stdout)).rows, failure: undefined});
			} catch {
				resolve({seed, rows: [], failure: error?.message ?? 'it printed no result'});
			}
		});
	});

const runManySeeds = async (count: number): Promise<boolean> => {
	const waiting = Array.from({length: count}, () => Math.floor(Math.random() * maxSeed));
	const results: SeedResult[] = [];
	const work = async (): Promise<void> => {
		for (let seed = waiting.pop(); seed !== undefined; seed = waiting.pop()) {
			// eslint-disable-next-line no-await-in-loop
			results.push(await runElsewhere(seed, values.cases));
			if (process.stderr.isTTY) {
				process.stderr.write(`\r${results.length} of ${count} seeds`);
			}
		}
	};

	await Promise.all(Array.from({length: Number(values.jobs)}, work));
	const {text, hasPassed} = formatSummary(results);
	process.stdout.write(`${text}\n`);
	return hasPassed;
};

const hasPassed = values.seeds === undefined ? await runOneSeed(Number(values.seed), Number(values.cases)) : await runManySeeds(Number(values.seeds));
process.exitCode = hasPassed ? 0 : 1;
