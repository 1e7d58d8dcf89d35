/**
 * The policies that are compared.
 */

import {
	chooseBestOfTwo, chooseByScore, chooseLeastReportedLoad, chooseRandomly, type ChooseCandidate,
} from 'mastvalve-routing';

/** How models are placed. */
export enum PlacementKind {
	/** Control's own policy. */
	Ours = 'ours',
	/** Placed once; only lost models are placed again. */
	Static = 'static',
	/** Every engine loads whatever is asked of it and evicts what was used least recently. */
	OnDemand = 'on-demand',
	/** Everything is everywhere: no real placement can do better. */
	Everywhere = 'everywhere',
}

/** One policy. */
export type BenchPolicy = {
	name: string;
	placement: PlacementKind;
	/** Undefined stands for round-robin. */
	choose: ChooseCandidate | undefined;
	/** Whether routing sees the true load. */
	seesTrueLoad: boolean;
};

/** Ours, two baselines, a bound. */
export const comparedPolicies: BenchPolicy[] = [
	{
		name: 'mastvalve', placement: PlacementKind.Ours, choose: chooseByScore, seesTrueLoad: false,
	},
	{
		name: 'static, round-robin', placement: PlacementKind.Static, choose: undefined, seesTrueLoad: false,
	},
	{
		name: 'on demand, LRU, least loaded', placement: PlacementKind.OnDemand, choose: chooseLeastReportedLoad, seesTrueLoad: false,
	},
	{
		name: 'bound: all everywhere, true load', placement: PlacementKind.Everywhere, choose: chooseLeastReportedLoad, seesTrueLoad: true,
	},
];

/** Ways to route under our placement. */
export const routingPolicies: BenchPolicy[] = [
	{
		name: 'random', placement: PlacementKind.Ours, choose: chooseRandomly, seesTrueLoad: false,
	},
	{
		name: 'least reported', placement: PlacementKind.Ours, choose: chooseLeastReportedLoad, seesTrueLoad: false,
	},
	{
		name: 'best of two', placement: PlacementKind.Ours, choose: chooseBestOfTwo, seesTrueLoad: false,
	},
	{
		name: 'best score of all', placement: PlacementKind.Ours, choose: chooseByScore, seesTrueLoad: false,
	},
];
