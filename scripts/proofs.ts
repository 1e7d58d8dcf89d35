/**
 * `npm run proofs`: runs all proofs with their broken twins, prints a row for each, ends with 1 if any falls short.
 */

import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	formatRows, listShortcomings, runProof, type ProofRow,
} from 'mastvalve-proofs';
import {allProofs} from '../packages/mastvalve-proofs/__tests__/all.proofs.js';

const {values} = parseArgs({options: {json: {type: 'boolean'}, seed: {type: 'string', default: '1'}, cases: {type: 'string', default: '200'}}});
const run = {seed: Number(values.seed), cases: Number(values.cases)};
const rows: ProofRow[] = [];
for (const proof of allProofs) {
	// One after the other, so that each has the processor for itself.
	// eslint-disable-next-line no-await-in-loop
	rows.push(await runProof(proof, run));
}

const shortcomings = listShortcomings(rows);
process.stdout.write(values.json ? `${JSON.stringify({...run, rows, shortcomings}, undefined, '\t')}\n` : `seed ${run.seed}\n${formatRows(rows)}\n${shortcomings.join('\n')}\n`);
process.exitCode = shortcomings.length === 0 ? 0 : 1;
