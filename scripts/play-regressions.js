/**
 * Plays the regression runs: the full score of each site, one after the other, with one file for each and a line that says
 * whether its gate passed and what its days with trouble are worth. docs/PLATFORM.md names the sites.
 *
 *     node scripts/play-regressions.js BENCH FOLDER WHY SITE...
 */

import {spawnSync} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const [bench, folder, why, ...sites] = process.argv.slice(2);
if (sites.length === 0) {
	throw new Error('usage: play-regressions.js BENCH FOLDER WHY SITE...');
}

/** A line of a score's table that is a standard day with trouble: its name, the site's instances, its score and its worth. */
const troubleDay = /^(?:trouble|scale)-\d+ +\d+\/\d+ +[\d.]+ +(?<worth>-?[\d.]+) /v;
const maxBytes = 100_000_000;

const meanWorth = lines => {
	const worths = lines.flatMap(line => {
		const found = troubleDay.exec(line)?.groups;
		return found ? [Number(found.worth)] : [];
	});
	return worths.length === 0 ? 'no day was played' : `mean worth ${(worths.reduce((sum, worth) => sum + worth, 0) / worths.length).toFixed(3)} over ${worths.length} days with trouble`;
};

mkdirSync(folder, {recursive: true});
const failed = sites.filter(site => {
	const play = spawnSync(bench, ['score', site, '--why', why], {encoding: 'utf8', maxBuffer: maxBytes});
	const name = path.basename(site, '.toml');
	writeFileSync(path.join(folder, `${name}.txt`), `${play.stdout}${play.stderr}`);
	const lines = play.stdout.split('\n');
	const gate = lines.find(line => line.startsWith('GATE ')) ?? 'no gate';
	process.stdout.write(`${name}: ${meanWorth(lines)}; ${gate}\n`);
	return gate !== 'GATE passed';
});
process.exitCode = failed.length === 0 ? 0 : 1;
