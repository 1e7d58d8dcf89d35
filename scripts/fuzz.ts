/**
 * `npm run fuzz -- --minutes N --seed S`: runs the proofs with the real decisions on ever new seeds, for so long.
 */

import process from 'node:process';
import {parseArgs} from 'node:util';
import {Variant} from 'mastvalve-proofs';
import {allProofs} from '../packages/mastvalve-proofs/__tests__/all.proofs.js';

const millisPerMinute = 60_000;
const casesPerRound = 300;
const {values} = parseArgs({options: {minutes: {type: 'string', default: '1'}, seed: {type: 'string', default: String(Date.now() % 1_000_000)}}});
const endAt = performance.now() + (Number(values.minutes) * millisPerMinute);
let seed = Number(values.seed);
let cases = 0;
let violations = 0;
process.stdout.write(`from seed ${seed} for ${values.minutes} minutes\n`);
while (performance.now() < endAt) {
	for (const proof of allProofs) {
		// eslint-disable-next-line no-await-in-loop
		const outcome = await proof.run(Variant.Real, {seed, cases: casesPerRound});
		cases += outcome.cases;
		if (outcome.violations > 0) {
			violations += 1;
			process.stdout.write(`seed ${seed}: "${proof.scenario}" is violated: ${outcome.counterexample ?? ''}\n`);
		}
	}

	seed += 1;
}

process.stdout.write(`${cases} cases up to seed ${seed - 1}, ${violations} violations\n`);
process.exitCode = violations === 0 ? 0 : 1;
