/**
 * `npm run soak -- --seeds N`: runs of the fault soak on seeds that nobody has chosen, several at a time; `--seed S` repeats one. Ends
 * with 1 if any has found something; the logs of those stay.
 */

import process from 'node:process';
import {parseArgs} from 'node:util';
import {SoakRun} from '../platform/__tests__/soak/soak-run.js';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '5'},
		seed: {type: 'string'},
		jobs: {type: 'string', default: '2'},
		controls: {type: 'string', default: '3'},
		entries: {type: 'string', default: '5'},
		endpoints: {type: 'string', default: '3'},
		faults: {type: 'string', default: '12'},
		seconds: {type: 'string', default: '12'},
		rate: {type: 'string', default: '40'},
		engines: {type: 'string', default: '5'},
		'engine-faults': {type: 'string', default: '6'},
		'without-copies': {type: 'boolean', default: false},
		bundle: {type: 'string', default: 'target/mastvalve-platform.cjs'},
	},
});

const maxSeed = 1_000_000;
const waiting = values.seed === undefined ? Array.from({length: Number(values.seeds)}, () => Math.floor(Math.random() * maxSeed)) : [Number(values.seed)];
const total = waiting.length;
const failed: string[] = [];
const figures: string[] = [];
let done = 0;

const playOne = async (seed: number): Promise<void> => {
	const run = await SoakRun.play({
		seed, controls: Number(values.controls), entries: Number(values.entries), endpoints: Number(values.endpoints), faults: Number(values.faults), faultsMs: Number(values.seconds) * 1000, perSecond: Number(values.rate), bundle: values.bundle,
		engines: Number(values.engines), engineFaults: Number(values['engine-faults']), canCopy: !values['without-copies'],
	});
	figures.push(`seed ${seed}: ${run.findings.length} findings; prompts ${JSON.stringify(run.engineFigures)}; streams ${JSON.stringify(run.streamFigures)}`);
	done += 1;
	if (run.findings.length > 0) {
		const line = `npm run soak -- --seed ${seed} --controls ${values.controls} --entries ${values.entries}: ${run.findings.slice(0, 3).join('; ')} (${run.findings.length} findings, logs in ${run.folder})`;
		failed.push(line);
		// At once, so that a run that is ended early has told it.
		process.stderr.write(`${line}\n`);
	}

	process.stderr.write(`${process.stderr.isTTY ? '\r' : ''}${done} of ${total} seeds, ${failed.length} with findings${process.stderr.isTTY ? '' : '\n'}`);
};

const work = async (): Promise<void> => {
	for (let seed = waiting.pop(); seed !== undefined; seed = waiting.pop()) {
		// eslint-disable-next-line no-await-in-loop
		await playOne(seed);
	}
};

await Promise.all(Array.from({length: Number(values.jobs)}, work));
process.stdout.write(`${total} seeds, ${failed.length} with findings\n${figures.join('\n')}\n${failed.join('\n')}\n`);
process.exitCode = failed.length === 0 ? 0 : 1;
