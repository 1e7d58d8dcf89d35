/**
 * Plays again, with the logs of all processes, what a hunt or a score has found to break a rule, and keeps one file for
 * each play: hunts keep no logs.
 *
 *     node scripts/replay-findings.js BENCH SITE OUTPUT-OF-THE-HUNT FOLDER [TIMES]
 */

import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const [bench, site, output, folder, times = '2'] = process.argv.slice(2);
if (times === undefined || folder === undefined) {
	throw new Error('usage: replay-findings.js BENCH SITE OUTPUT-OF-THE-HUNT FOLDER [TIMES]');
}

/** A line of a table whose day broke a rule: the day's name, or a standard day with its seed. */
const brokenDay = /^(?<day>[\w\-]+)(?: --seed (?<seed>\d+))? .*BROKEN: (?<rules>.+)$/v;
const maxBytes = 1_000_000_000;

/** Arguments that play a finding again. */
const toArguments = ({day, seed}) => (seed === undefined ? ['replay', site, day] : ['run', site, day, '--seed', seed]);

const findings = readFileSync(output, 'utf8').split('\n').flatMap(line => {
	const found = brokenDay.exec(line)?.groups;
	return found ? [found] : [];
});
mkdirSync(folder, {recursive: true});
for (const finding of findings) {
	for (const round of Array.from({length: Number(times)}, (_, index) => index + 1)) {
		const file = path.join(folder, `${finding.day}-${finding.seed ?? 'day'}-${round}.txt`);
		const play = spawnSync(bench, [...toArguments(finding), '--log', 'all', '--why', `Replay ${round} of a finding: ${finding.rules}`], {encoding: 'utf8', maxBuffer: maxBytes});
		writeFileSync(file, `${play.stdout}${play.stderr}`);
		process.stdout.write(`${finding.day} ${finding.seed ?? ''}: ${/^rules broken: .*$/mv.exec(play.stdout)?.[0] ?? 'not shown again'} (${file})\n`);
	}
}

process.stdout.write(`${findings.length} findings\n`);
