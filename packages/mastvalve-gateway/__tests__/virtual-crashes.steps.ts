/**
 * Steps for the decision on what crashes endpoints, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	defineParameterType, Given, Then, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {isPartFingerprint, type CrashReport} from 'mastvalve-fleet';
import {createRandom} from 'mastvalve-utils';
import {VirtualCrashes, type CrashOutcome, type CrashPlan} from './__fixtures__/virtual-crashes.js';

type DrawnRun = {seed: number; plan: Omit<CrashPlan, 'alterReport' | 'reportsSuccesses' | 'random'>; outcome: CrashOutcome};
type VirtualWorld = World & {runs: DrawnRun[]};

const maxLate = 3;
const allowedShare = 0.5;
/** Sound requests below which a share says nothing. */
const minSound = 20;
const drawSeed = 59;

const plans = fc.record({
	entries: fc.constantFrom(1, 3, 5, 31, 100),
	engines: fc.integer({min: 8, max: 40}),
	crashingRate: fc.constantFrom(0.5, 1, 2, 4, 8),
	soundRate: fc.integer({min: 10, max: 80}),
	otherCrashRate: fc.constantFrom(0, 0, 0.2, 1),
	soundBeforeMs: fc.constantFrom(0, 0, 1000, 4000),
	isFirst: fc.boolean(),
	sendsHead: fc.constantFrom(true, true, false),
	maxDelayMs: fc.integer({min: 10, max: 300}),
	restartMs: fc.integer({min: 1500, max: 4000}),
});

type Twin = Pick<CrashPlan, 'alterReport' | 'reportsSuccesses'>;

const product: Twin = {alterReport: report => report, reportsSuccesses: true};

const onlyRequests = (report: CrashReport): CrashReport =>
	({...report, suspects: (report.suspects ?? []).filter(({fingerprint}) => !isPartFingerprint(fingerprint))});

const countAll = (report: CrashReport): CrashReport =>
	({
		...report, suspects: (report.suspects ?? []).map(({fingerprint}) => ({
			fingerprint, requests: 1, beginnings: 0, successes: 0,
		})),
	});

const twins: Record<string, Twin> = {
	'entries report whole requests only': {alterReport: onlyRequests, reportsSuccesses: true},
	'everything that is in flight counts as the cause': {alterReport: countAll, reportsSuccesses: false},
};

defineParameterType({name: 'twin', regexp: new RegExp(Object.keys(twins).join('|'), 'v'), transformer: (name: string): Twin => twins[name]!});

const draw = (count: number, twin: Twin, change: Partial<DrawnRun['plan']> = {}): DrawnRun[] =>
	fc.sample(plans, {numRuns: count, seed: drawSeed}).map((drawn, index) => {
		const plan = {...drawn, ...change};
		const seed = drawSeed + index;
		return {seed, plan, outcome: new VirtualCrashes({...plan, ...twin, random: createRandom(seed)}).run()};
	});

const isLate = ({outcome}: DrawnRun): boolean => outcome.late > maxLate;
const isLost = ({outcome: {sound, soundRefused}}: DrawnRun): boolean => sound >= minSound && soundRefused >= sound * allowedShare;

Given('{int} drawn runs in which requests with one part crash engines', function (this: VirtualWorld, count: number) {
	this.runs = draw(count, product);
});

Given('{int} drawn runs in which engines crash for other reasons only', function (this: VirtualWorld, count: number) {
	this.runs = draw(count, product, {crashingRate: 0, otherCrashRate: 2});
});

Given('{int} drawn runs in which requests with one part crash engines, although {twin}', function (this: VirtualWorld, count: number, twin: Twin) {
	this.runs = draw(count, twin);
});

Then('in each run at most {int} requests with the part have reached engines later than {int} s after the fifth crash', function (this: VirtualWorld, _limit: number, _seconds: number) {
	this.attach(`most engines crashed in a run: ${Math.max(...this.runs.map(({outcome}) => outcome.crashes))}; most late requests: ${Math.max(...this.runs.map(({outcome}) => outcome.late))}`);
	assert.deepEqual(this.runs.filter(run => isLate(run)), []);
});

Then('in each run fewer than half of the sound requests are refused from {int} s after the fifth crash on', function (this: VirtualWorld, _seconds: number) {
	const refused = this.runs.filter(({outcome}) => outcome.soundRefused > 0);
	this.attach(`runs with refused sound requests: ${refused.length}; most in one run: ${Math.max(0, ...refused.map(({outcome}) => outcome.soundRefused / outcome.sound)).toFixed(3)}`);
	assert.deepEqual(this.runs.filter(run => isLost(run)), []);
});

Then('some run breaks the first bound', function (this: VirtualWorld) {
	assert.ok(this.runs.some(run => isLate(run)));
});

Then('some run breaks the second bound', function (this: VirtualWorld) {
	assert.ok(this.runs.some(run => isLost(run)));
});
