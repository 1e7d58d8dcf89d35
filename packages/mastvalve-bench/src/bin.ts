/**
 * `npm run bench -- policy|nodes|followers|log|placement|planning|aperture|access|dispatch`: focused measurements.
 */

import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatTable} from 'mastvalve-utils';
import {benchAccess} from './access/access-bench.js';
import {benchAperture} from './aperture/aperture-bench.js';
import {benchDispatch} from './dispatch/dispatch-bench.js';
import {benchFollowers} from './followers/followers-bench.js';
import {logMeasurements, type BenchTable} from './log/log-bench.js';
import {nodesMeasurements} from './nodes/nodes-bench.js';
import {benchPlacement} from './placement/placement-bench.js';
import {benchPlanning} from './planning/planning-bench.js';
import type {DeploymentShape} from './policy/deployment-shape.js';
import {
	allShapes, compareLoads, comparePolicies, compareRouting, compareWeights, formatPolicyRows,
} from './policy/policy-bench.js';

const {values, positionals: [name = '']} = parseArgs({
	allowPositionals: true,
	options: {
		seed: {type: 'string', default: '1'},
		json: {type: 'boolean'},
		/** For `policy` and `nodes`: one of their tables; for `policy`, one deployment. */
		deployment: {type: 'string'},
		table: {type: 'string'},
	},
});
const seed = Number(values.seed);

const print = (title: string, rows: unknown, table: string[][]): void => {
	process.stdout.write(values.json ? `${JSON.stringify({title, rows})}\n` : `${title}\n${formatTable(table)}\n\n`);
};

const policyTables: Readonly<Record<string, (shapes: DeploymentShape[]) => void>> = {
	policies(shapes) {
		const rows = comparePolicies(seed, shapes);
		print(`policies, seed ${seed}`, rows, formatPolicyRows(rows));
	},
	routing(shapes) {
		const rows = compareRouting(seed, shapes);
		print('routing under our placement', rows, formatPolicyRows(rows).map(row => row.slice(0, 11)));
	},
	weights(shapes) {
		const rows = compareWeights(seed, shapes);
		print('weight of moves', rows, [
			['deployment', 'weight', 'attained/s/acc', 'moves'],
			...rows.map(row => [row.deployment, String(row.moveWeight), row.attainment.toFixed(3), String(row.moves)]),
		]);
	},
	loads(shapes) {
		const rows = compareLoads(seed, shapes);
		print('offered load', rows, [
			['deployment', 'load', 'policy', 'attained/s/acc', 'refused', 'attempts'],
			...rows.map(row => [row.deployment, `${row.loadFactor}x`, row.policy, row.attainment.toFixed(3), String(row.refused), row.attemptsPerRequest.toFixed(3)]),
		]);
	},
};

const runPolicyBench = (): void => {
	const shapes = allShapes.filter(shape => values.deployment === undefined || shape.name === values.deployment);
	Object.entries(policyTables)
		.filter(([table]) => values.table === undefined || table === values.table)
		.forEach(([, run]) => {
			run(shapes);
		});
};

const printTables = (tables: BenchTable[]): void => {
	tables.forEach(({title, rows}) => {
		print(title, rows, rows);
	});
};

const benches: Readonly<Record<string, () => void | Promise<void>>> = {
	access() {
		printTables(benchAccess());
	},
	dispatch() {
		printTables(benchDispatch());
	},
	policy: runPolicyBench,
	aperture() {
		printTables(benchAperture(seed));
	},
	placement() {
		printTables(benchPlacement());
	},
	async log() {
		for (const measure of logMeasurements) {
			// Printed as they come: a later failure loses nothing.
			// eslint-disable-next-line no-await-in-loop
			printTables([await measure()]);
		}
	},
	async followers() {
		printTables(await benchFollowers());
	},
	async planning() {
		printTables(await benchPlanning());
	},
	async nodes() {
		const chosen = Object.entries(nodesMeasurements).filter(([table]) => values.table === undefined || table === values.table);
		for (const [, measure] of chosen) {
			// eslint-disable-next-line no-await-in-loop
			printTables(await measure());
		}
	},
};

const bench = benches[name];
if (bench) {
	await bench();
} else {
	process.stderr.write(`There is no bench "${name}". There are: ${Object.keys(benches).join(', ')}.\n`);
	process.exitCode = 2;
}
