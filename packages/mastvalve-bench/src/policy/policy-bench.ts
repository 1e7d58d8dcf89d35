/**
 * `npm run bench -- policy`: both deployments, calm, burst and each fault, our policy beside baselines and a bound.
 */

import {Priority} from 'mastvalve-types';
import {comparedPolicies, routingPolicies, type BenchPolicy} from './bench-policy.js';
import {alairopontShape, katalogixShape, type DeploymentShape} from './deployment-shape.js';
import {PolicyRun} from './run-policy.js';
import type {RunOptions, RunResult} from './run-result.js';
import {scenarios, type Scenario} from './scenario.js';

/** One row of the table. */
export type PolicyRow = RunResult & {deployment: string; scenario: string; policy: string};

/** Both deployments. */
export const allShapes: DeploymentShape[] = [katalogixShape, alairopontShape];

/** Runs one policy. */
export const runPolicy = (shape: DeploymentShape, scenario: Scenario, policy: BenchPolicy, options: RunOptions): PolicyRow => ({
	deployment: shape.name, scenario: scenario.name, policy: policy.name, ...new PolicyRun(shape, scenario, policy, options).run(),
});

/** All rows of the comparison. */
export const comparePolicies = (seed: number, shapes = allShapes): PolicyRow[] =>
	shapes.flatMap(shape => scenarios.flatMap(scenario => comparedPolicies.map(policy => runPolicy(shape, scenario, policy, {seed}))));

/** Ways to route, under the burst with reports as they are and frozen. */
export const compareRouting = (seed: number, shapes = allShapes): PolicyRow[] =>
	shapes.flatMap(shape => scenarios.filter(({name}) => name === 'burst, not declared' || name === 'reports frozen').flatMap(scenario =>
		routingPolicies.map(policy => runPolicy(shape, scenario, policy, {seed}))));

/** Attainment and moves over the weight of moves. */
export const compareWeights = (seed: number, shapes = allShapes): Array<PolicyRow & {moveWeight: number}> =>
	shapes.flatMap(shape => scenarios.filter(({name}) => name === 'tenfold').flatMap(scenario => [0, 0.1, 0.6, 2, 5].flatMap(moveWeight =>
		comparedPolicies.slice(0, 1).map(policy => ({moveWeight, ...runPolicy(shape, scenario, policy, {seed, moveWeight})})))));

/** Goodput over offered load. */
export const compareLoads = (seed: number, shapes = allShapes): Array<PolicyRow & {loadFactor: number}> =>
	shapes.flatMap(shape => scenarios.filter(({name}) => name === 'calm').flatMap(scenario => [1, 2, 3, 5].flatMap(loadFactor =>
		comparedPolicies.map(policy => ({loadFactor, ...runPolicy(shape, scenario, policy, {seed, loadFactor})})))));

const shareOf = ({within, all}: {within: number; all: number}): string => (all === 0 ? '-' : (within / all).toFixed(3));

/** Rows as a table for people, with ratios to the better baseline and to the bound. */
export const formatPolicyRows = (rows: readonly PolicyRow[]): string[][] => [
	['deployment', 'scenario', 'policy', 'attained/s/acc', 'interactive', 'standard', 'batch', 'moves', 'refused', 'cold ms', 'attempts', 'to best baseline', 'to bound'],
	...rows.map(row => {
		const peers = rows.filter(other => other.deployment === row.deployment && other.scenario === row.scenario);
		const baseline = Math.max(...peers.slice(1, 3).map(peer => peer.attainment));
		const bound = peers[3]?.attainment ?? Number.NaN;
		return [
			row.deployment,
			row.scenario,
			row.policy,
			row.attainment.toFixed(3),
			shareOf(row.served[Priority.Interactive]),
			shareOf(row.served[Priority.Standard]),
			shareOf(row.served[Priority.Batch]),
			String(row.moves),
			String(row.refused),
			row.worstColdMs.toFixed(0),
			row.attemptsPerRequest.toFixed(3),
			(row.attainment / baseline).toFixed(3),
			(row.attainment / bound).toFixed(3),
		];
	}),
];
