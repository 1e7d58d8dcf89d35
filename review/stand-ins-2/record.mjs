/**
 * The record of a case, and its frame: a time limit, the end of everything that was started, and the exit code.
 */

import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';

/** Time after which a case counts as one that could not run, ms. */
const limitMs = 110_000;

export class CaseRecord {
	lines = [];
	startedAt = performance.now();

	constructor(folder) {
		this.path = path.join(folder, 'record.txt');
	}

	/** Writes down what was sent, answered or run. */
	add(what, fields = {}) {
		const ms = Math.round(performance.now() - this.startedAt);
		this.lines.push(`${String(ms).padStart(6)} ms  ${what} ${JSON.stringify(fields)}`);
	}

	save() {
		writeFileSync(this.path, `${this.lines.join('\n')}\n`);
	}
}

/** Runs a case: `play` returns the ways in which the rule was broken. `cleanUp` ends all that was started. */
export const runCase = async (folder, play, cleanUp) => {
	const record = new CaseRecord(folder);
	record.add(hasTrouble ? 'played with the disruption' : 'played without the disruption');
	const finish = async (code, text) => {
		record.add(text);
		record.save();
		await cleanUp();
		process.stdout.write(`${text}\n`);
		// Stand-ins that still run would keep the process alive.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	};

	const timer = setTimeout(() => {
		finish(2, 'the case did not end in time');
	}, limitMs);
	try {
		const broken = await play(record);
		clearTimeout(timer);
		await (broken.length > 0 ? finish(1, `the rule was broken: ${broken.join('; ')}`) : finish(0, 'the rule held'));
	} catch (error) {
		await finish(2, `the case could not run: ${error.stack}`);
	}
};
