/**
 * `npm run bench -- policy|nodes|log|placement|aperture`: focused measurements.
 */

import process from 'node:process';
import {parseArgs} from 'node:util';
import {benchAperture} from './aperture/aperture-bench.js';
import {benchLog, type BenchTable} from './log/log-bench.js';
import {benchNodes} from './nodes/nodes-bench.js';
import {benchPlacement} from './placement/placement-bench.js';
import {
	compareLoads, comparePolicies, compareRouting, compareWeights, formatPolicyRows,
} from './policy/policy-bench.js';
import {formatTable} from './table.js';

const {values, positionals: [name = '']} = parseArgs({allowPositionals: true, options: {seed: {type: 'string', default: '1'}, json: {type: 'boolean'}, plot: {type: 'string'}}});
const seed = Number(values.seed);

const print = (title: string, rows: unknown, table: string[][]): void => {
	process.stdout.write(values.json ? `${JSON.stringify({title, rows})}\n` : `${title}\n${formatTable(table)}\n\n`);
};

const runPolicyBench = (): void => {
	const rows = comparePolicies(seed);
	print(`policies, seed ${seed}`, rows, formatPolicyRows(rows));
	const routing = compareRouting(seed);
	print('routing under our placement (the ratios do not apply)', routing, formatPolicyRows(routing).map(row => row.slice(0, 11)));
	const weights = compareWeights(seed);
	print('weight of moves', weights, [['deployment', 'weight', 'attained/s/acc', 'moves'], ...weights.map(row => [row.deployment, String(row.moveWeight), row.attainment.toFixed(3), String(row.moves)])]);
	const loads = compareLoads(seed);
	print('offered load', loads, [['deployment', 'load', 'policy', 'attained/s/acc', 'refused', 'attempts'], ...loads.map(row => [row.deployment, `${row.loadFactor}x`, row.policy, row.attainment.toFixed(3), String(row.refused), row.attemptsPerRequest.toFixed(3)])]);
};

const printTables = (tables: BenchTable[]): void => {
	tables.forEach(({title, rows}) => {
		print(title, rows, rows);
	});
};

const benches: Readonly<Record<string, () => void | Promise<void>>> = {
	policy: runPolicyBench,
	aperture() {
		printTables(benchAperture(seed));
	},
	placement() {
		printTables(benchPlacement());
	},
	async log() {
		printTables(await benchLog());
	},
	async nodes() {
		printTables(await benchNodes());
	},
};

const bench = benches[name];
if (bench) {
	await bench();
} else {
	process.stderr.write(`There is no bench "${name}". There are: ${Object.keys(benches).join(', ')}.\n`);
	process.exitCode = 2;
}
