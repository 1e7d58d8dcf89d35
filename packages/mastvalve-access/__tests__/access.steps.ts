/**
 * Steps for keys, priorities and limits: the policy alone, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {createRandom} from 'mastvalve-utils';
import {
	computeRequestCost, EntryCalls, KeyFreshness, GrantHistory, LimitLedger, LimitUnit, LimitWindow, DisconnectedLimits,
	excessRecord, ExcessShares, wholeShare, rankPriorities, type LimitTolerance, type RecordedCeilings, type Workspace, type WorkspaceLimit,
} from '../src/index.js';

type AccessWorld = World & {freshness: KeyFreshness; window: LimitWindow};

const tolerance: LimitTolerance = {windowMs: 8000, overage: 0.1, slack: 17_000};
const requestTokens = 2400;
const entries = 31;

const limitOf = (ratePerSecond: number, burst = ratePerSecond): WorkspaceLimit => ({
	unit: LimitUnit.Tokens, ratePerSecond, burst, plainTokens: 200,
});

const workspaceOf = (limit: WorkspaceLimit): Workspace => ({
	name: 'w', keyDigests: [], priority: 0, limit,
});

const computeAllowed = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / 1000) + burst) * (1 + overage)) + slack;

type Granted = {at: number; cost: number};

/** What the log holds of the grants; it survives leaders. */
class Records implements RecordedCeilings {
	private readonly amounts = new Map<string, number>();

	read(workspace: string): number {
		return this.amounts.get(workspace) ?? 0;
	}

	listWorkspaces(): string[] {
		return [...this.amounts.keys()];
	}

	/** Claims as a leader does: what the recorded ceiling doesn't hold is recorded first. */
	claim(ledger: LimitLedger, workspace: Workspace, cost: number, now: number): number {
		if (ledger.needsRecord(workspace, cost, now)) {
			ledger.noteWaiting(workspace, cost, now);
			this.record(ledger, now);
		}

		assert.equal(ledger.needsRecord(workspace, cost, now), false);
		const waitMs = ledger.applyClaim(workspace, cost, now);
		this.record(ledger, now);
		return waitMs;
	}

	private record(ledger: LimitLedger, now: number): void {
		ledger.listDueRecords(now).forEach(({workspace, amount}) => {
			this.amounts.set(workspace, amount);
		});
	}
}

const findMaxInWindow = (granted: readonly Granted[], windowMs: number): number =>
	Math.max(0, ...granted.map(({at}) => granted.filter(other => other.at >= at && other.at < at + windowMs).reduce((sum, {cost}) => sum + cost, 0)));

Given('a bound of {int} ms on revoked keys', function (this: AccessWorld, boundMs: number) {
	this.freshness = new KeyFreshness(boundMs);
});

Given('no bound on revoked keys', function (this: AccessWorld) {
	this.freshness = new KeyFreshness(undefined);
});

When('control confirms a time {int} ms before the request of {int} ms', function (this: AccessWorld, beforeMs: number, askedAt: number) {
	this.freshness.recordAnswer(askedAt, -beforeMs);
});

When('the entry is suspended at {int} ms', function (this: AccessWorld, at: number) {
	this.freshness.invalidate(at);
});

When('control responds to the request of {int} ms', function (this: AccessWorld, askedAt: number) {
	this.freshness.recordAnswer(askedAt, 0);
});

Then('keys are fresh at {int} ms, and stale at {int} ms', function (this: AccessWorld, last: number, first: number) {
	assert.equal(this.freshness.isFresh(last), true);
	assert.equal(this.freshness.isFresh(first), false);
});

Then('keys are fresh at {int} ms', function (this: AccessWorld, at: number) {
	assert.equal(this.freshness.isFresh(at), true);
});

Then('keys are stale at {int} ms', function (this: AccessWorld, at: number) {
	assert.equal(this.freshness.isFresh(at), false);
});

Then('workspaces of priorities 0, 1 and 2 with routes of priorities 0, 1 and 2 are ranked 0 to 8', () => {
	const rank = rankPriorities({workspaces: [2, 0, 1, 0], routes: [1, 2, 0]});
	assert.deepEqual([0, 1, 2].flatMap(workspace => [0, 1, 2].map(route => rank(workspace, route))), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
});

Then('a workspace without a priority is the least urgent', () => {
	const rank = rankPriorities({workspaces: [0, undefined], routes: [0, 3]});
	assert.deepEqual([rank(0, 3), rank(undefined, 0), rank(undefined, 3)], [1, 2, 3]);
});

Then('without workspaces the route\'s priority applies', () => {
	const rank = rankPriorities({workspaces: [], routes: [0, 2, 7]});
	assert.deepEqual([rank(undefined, 0), rank(undefined, 2), rank(undefined, 7)], [0, 2, 7]);
});

Then('more pairs than priority levels keep their order', () => {
	const rank = rankPriorities({workspaces: [0, 1, 2, 3, 4], routes: [0, 1, 2, 3]});
	const ranks = [0, 1, 2, 3, 4].flatMap(workspace => [0, 1, 2, 3].map(route => rank(workspace, route)));
	assert.deepEqual(ranks, ranks.toSorted((a, b) => a - b));
	assert.deepEqual([ranks[0], ranks.at(-1)], [0, 9]);
});

Then('a request that declares {word} costs {int} by {word}', (declared: string, cost: number, unit: string) => {
	const [prompt = 0, output = 0] = declared.split(',').map(Number);
	const limit = {...limitOf(1), unit: unit === 'tokens' ? LimitUnit.Tokens : LimitUnit.Requests};
	assert.equal(computeRequestCost(limit, declared === 'nothing' ? undefined : {prompt, output}), cost);
});

Then('over {int} runs with bursts and changes of leader, no window of 8 s is granted more than the tolerance allows', (runs: number) => {
	Array.from({length: runs}).forEach((_, seed) => {
		const random = createRandom(seed + 1);
		const limit = limitOf(4200 * (1 + Math.floor(random() * 10)));
		const workspace = workspaceOf(limit);
		// Demand of 0.3 to 6 times the rate, which changes each second; the leader changes twice.
		const resets = [random() * 30_000, random() * 30_000];
		const histories = Array.from({length: entries}, () => new GrantHistory(tolerance.windowMs));
		const records = new Records();
		let leader = {ledger: new LimitLedger(tolerance, 0, records), reported: new Set<GrantHistory>(), begunAt: 0};
		const granted: Granted[] = [];
		let at = 0;
		while (at < 30_000) {
			const load = 0.3 + (5.7 * ((Math.floor(at / 1000) * 7919 * (seed + 1) % 100) / 100));
			const stepMs = requestTokens / (limit.ratePerSecond * load) * 1000 * 2 * random();
			const before = at;
			at = before + stepMs;
			const now = at;
			if (resets.some(reset => reset >= before && reset < now)) {
				leader = {ledger: new LimitLedger(tolerance, now, records), reported: new Set(), begunAt: now};
			}

			// Entries learn of a new leader within 0.45 s and report their prior grants, at the latest with their next claim.
			const {ledger, reported, begunAt} = leader;
			const history = histories[Math.floor(random() * entries)]!;
			const reporting = histories.filter((each, index) => !reported.has(each) && (each === history || now >= begunAt + (450 * index / entries)));
			reporting.forEach(each => {
				reported.add(each);
				each.listPriorGrants(now).forEach(grant => {
					ledger.addPriorGrant(workspace, grant, now);
				});
			});
			const cost = requestTokens * 2 * random();
			if (records.claim(ledger, workspace, cost, now) === 0) {
				history.record('w', cost, now);
				granted.push({at: now, cost});
			}
		}

		const most = findMaxInWindow(granted, tolerance.windowMs);
		assert.ok(most <= computeAllowed(limit, tolerance), `seed ${seed + 1}: ${most} of ${computeAllowed(limit, tolerance)} at ${limit.ratePerSecond} a second`);
	});
});

Then('a workspace that sends at its rate, with requests of any size, gets no refusals', () => {
	Array.from({length: 50}).forEach((_, seed) => {
		const random = createRandom(seed + 1);
		const limit = limitOf(12_000);
		const ledger = new LimitLedger(tolerance, -1000);
		let at = 500;
		while (at < 30_000) {
			const cost = requestTokens * (0.5 + random());
			at += cost / limit.ratePerSecond * 1000 * (0.8 + (0.4 * random()));
			assert.equal(ledger.applyClaim(workspaceOf(limit), cost, at), 0, `seed ${seed + 1} at ${at}`);
		}
	});
});

Then('a request of {int} tokens passes an empty window of {int} per second, and the next one waits until it has left the window', (cost: number, ratePerSecond: number) => {
	const ledger = new LimitLedger(tolerance, 0);
	const workspace = workspaceOf(limitOf(ratePerSecond));
	assert.equal(ledger.applyClaim(workspace, cost, 60_000), 0);
	const waitMs = ledger.applyClaim(workspace, requestTokens, 60_000);
	assert.ok(waitMs >= tolerance.windowMs && waitMs <= tolerance.windowMs + 100, `${waitMs}`);
	assert.equal(ledger.applyClaim(workspace, requestTokens, 60_000 + waitMs), 0);
});

Then('a request that is retried at the announced time is granted', () => {
	const ledger = new LimitLedger(tolerance, 0);
	const workspace = workspaceOf(limitOf(4200));
	const costs = Array.from({length: 60}, (_, index) => 500 + (index * 100));
	costs.reduce((at, cost) => {
		const waitMs = ledger.applyClaim(workspace, cost, at);
		assert.equal(waitMs === 0 || ledger.applyClaim(workspace, cost, at + waitMs) === 0, true);
		return at + waitMs;
	}, 0);
});

Then('a limit that is lowered to a tenth grants at most one window of the new limit from then on', () => {
	const ledger = new LimitLedger(tolerance, 0);
	const askOnce = (limit: WorkspaceLimit, at: number): number => (ledger.applyClaim(workspaceOf(limit), requestTokens, at) === 0 ? requestTokens : 0);
	const ask = (limit: WorkspaceLimit, at: number): number => Array.from({length: 400}, () => askOnce(limit, at)).reduce<number>((sum, cost) => sum + cost, 0);
	const before = ask(limitOf(42_000), 10_000);
	const after = ask(limitOf(4200), 10_010);
	assert.ok(after > 0 || before > computeAllowed(limitOf(42_000), tolerance) / 2);
	assert.ok(after <= computeAllowed(limitOf(4200), tolerance), `${after}`);
	assert.ok(before + after <= computeAllowed(limitOf(42_000), tolerance), `${before} and ${after}`);
});

/** An entry that holds grants calls the leader at least this often, ms. */
const maxCallIntervalMs = 1000;

/** Simulates entries that use one ledger for 16 to 24 s and are then disconnected for 3 s, at `load` times the rate. */
const simulateDisconnection = (seed: number, limit: WorkspaceLimit, load: number): {granted: Granted[]; askedDisconnected: number; grantedDisconnected: number} => {
	const random = createRandom(seed);
	const workspace = workspaceOf(limit);
	const records: RecordedCeilings = {read: name => (name === excessRecord ? 1 : 0), listWorkspaces: () => []};
	const ledger = new LimitLedger(tolerance, -1000, records, new ExcessShares({
		term: 1, startedAt: -1000, windowMs: tolerance.windowMs, hasFormerShares: true,
	}));
	const simulated = Array.from({length: entries}, (_, index) => {
		const history = new GrantHistory(tolerance.windowMs);
		return {name: `entry ${index}`, history, limits: new DisconnectedLimits(history, tolerance.windowMs)};
	});
	const call = ({name, limits}: typeof simulated[number], now: number): void => {
		ledger.noteCall(name, now, limits.heldExcess);
		limits.recordAnswer(ledger.listBusy(now), now, ledger.issueShare(name, true, now));
	};

	const granted: Granted[] = [];
	const disconnectedAt = 16_000 + (random() * 8000);
	let [at, calledAt, askedDisconnected, grantedDisconnected, isDisconnected] = [0, 0, 0, 0, false];
	while (at < disconnectedAt + 3000) {
		at += requestTokens / (limit.ratePerSecond * load) * 1000 * 2 * random();
		const now = at;
		const simulatedEntry = simulated[Math.floor(random() * entries)]!;
		const {history, limits} = simulatedEntry;
		if (!isDisconnected && now >= disconnectedAt) {
			isDisconnected = true;
			simulated.forEach(entry => {
				entry.limits.disconnect(now);
			});
		}

		const isGranted = isDisconnected ? limits.mayGrant(workspace, requestTokens, now) : ledger.applyClaim(workspace, requestTokens, now) === 0;
		if (!isDisconnected) {
			call(simulatedEntry, now);
			if (now >= calledAt + maxCallIntervalMs) {
				calledAt = now;
				simulated.filter(entry => entry.history.listSums(now).size > 0).forEach(entry => {
					call(entry, now);
				});
			}
		}

		askedDisconnected += isDisconnected ? 1 : 0;
		grantedDisconnected += isDisconnected && isGranted ? 1 : 0;
		if (isGranted) {
			history.record('w', requestTokens, now);
			granted.push({at: now, cost: requestTokens});
		} else if (!isDisconnected) {
			limits.recordRefusal('w', now);
		}
	}

	return {granted, askedDisconnected, grantedDisconnected};
};

Then('over {int} runs, {int} entries that are disconnected for 3 s grant no more than the tolerance allows', (runs: number, count: number) => {
	assert.equal(count, entries);
	Array.from({length: runs}).forEach((_, seed) => {
		const limit = limitOf([4200, 28_000, 138_000][seed % 3]!);
		const most = findMaxInWindow(simulateDisconnection(seed + 1, limit, 3).granted, tolerance.windowMs);
		assert.ok(most <= computeAllowed(limit, tolerance), `seed ${seed + 1}: ${most} of ${computeAllowed(limit, tolerance)} at ${limit.ratePerSecond} a second`);
	});
});

Then('a workspace with unchanged load is granted at least half of its requests', () => {
	const runs = Array.from({length: 30}, (_, seed) => simulateDisconnection(seed + 1, limitOf(28_000), 0.55));
	const asked = runs.reduce((sum, {askedDisconnected}) => sum + askedDisconnected, 0);
	const served = runs.reduce((sum, {grantedDisconnected}) => sum + grantedDisconnected, 0);
	assert.ok(served >= asked / 2, `${served} of ${asked}`);
});

/** A window of 8 s with a capacity of 2,000. */
const smallLimit: WorkspaceLimit = {
	unit: LimitUnit.Requests, ratePerSecond: 0, burst: 2000, plainTokens: 0,
};

Given('a window in which 1000 were granted at 0 ms, and 1000 at 4000 ms', function (this: AccessWorld) {
	this.window = new LimitWindow(smallLimit, {windowMs: 8000, overage: 0, slack: 0});
	this.window.take(1000, 0);
	this.window.take(1000, 4000);
});

When('1000 are refunded at 4100 ms', function (this: AccessWorld) {
	this.window.refund(1000);
});

Then('1000 count at 7900 ms, and at least 1000 of those granted at 4000 ms at 8100 ms', function (this: AccessWorld) {
	assert.equal(this.window.computeWaitMs(1000, 7900), 0);
	assert.ok(this.window.computeWaitMs(1001, 7900) > 0);
	assert.ok(this.window.computeWaitMs(1001, 8100) > 0);
});

/** A leader that granted 10 requests at a time, and an entry with half of them. */
const createLocalLimits = (busy: string[] | undefined, now: number): {history: GrantHistory; limits: DisconnectedLimits} => {
	const history = new GrantHistory(tolerance.windowMs);
	const limits = new DisconnectedLimits(history, tolerance.windowMs);
	Array.from({length: 5}).forEach(() => {
		history.record('w', 1, now);
	});
	// One request of the pool of 600.
	limits.recordAnswer(busy, now, {term: 1, number: 1, parts: Math.ceil(wholeShare / 600)});
	return {history, limits};
};

Then('an entry that hears no leader grants nothing itself from {int} ms after the last answer on', (ms: number) => {
	const {history, limits} = createLocalLimits([], 1000);
	limits.disconnect(1100);
	assert.equal(limits.mayGrant({name: 'w', limit: smallLimit}, 1, 1000 + ms - 1), true);
	history.recordLocal('w', 1, 1000 + ms - 1);
	assert.equal(limits.mayGrant({name: 'v', limit: smallLimit}, 1, 1000 + ms - 1), true);
	assert.equal(limits.mayGrant({name: 'w', limit: smallLimit}, 1, 1000 + ms), false);
	assert.equal(limits.mayGrant({name: 'v', limit: smallLimit}, 1, 1000 + ms), false);
});

Then('an entry that hears no leader grants a request of its share only to workspaces of which it knows that they had used less than half of their window', () => {
	[{busy: ['other'], isMore: true}, {busy: ['w'], isMore: false}, {busy: undefined, isMore: false}].forEach(({busy, isMore}) => {
		const {history, limits} = createLocalLimits(busy, 1000);
		limits.disconnect(1100);
		assert.equal(limits.mayGrant({name: 'w', limit: smallLimit}, 1, 1200), isMore);
		history.recordLocal('w', 1, 1200);
		assert.equal(limits.mayGrant({name: 'w', limit: smallLimit}, 1, 1300), false);
	});
});

Then('a new leader counts the recorded ceiling until {int} ms after the window has passed since its start, less what entries were granted by leaders', (ms: number) => {
	const limit: WorkspaceLimit = {...smallLimit, burst: 1000};
	const exact = {windowMs: 8000, overage: 0, slack: 0};
	const create = (): LimitWindow => {
		const window = new LimitWindow(limit, exact);
		window.countUnreported(1000, 20_000);
		return window;
	};

	const silent = create();
	assert.equal(silent.computeWaitMs(1, 20_000), 8000 + ms);
	assert.equal(silent.computeWaitMs(1000, 28_000 + ms), 0);
	const reporting = create();
	reporting.addPriorGrant({amount: 400, ageMs: 2000, isLocal: false}, 21_000);
	assert.equal(reporting.computeUsed(21_000), 1000);
	reporting.addPriorGrant({amount: 300, ageMs: 500, isLocal: true}, 21_000);
	assert.equal(reporting.computeUsed(21_000), 1300);
	assert.equal(reporting.computeUsed(27_500), 900);
	// It had left the window before the leader started, so the recorded ceiling may not contain it.
	reporting.addPriorGrant({amount: 100, ageMs: 9500, isLocal: false}, 21_000);
	assert.equal(reporting.computeUsed(27_500), 900);
});

Then('after a refund the entry reports no more than the leader counts', () => {
	const history = new GrantHistory(tolerance.windowMs);
	history.record('w', 100, 0);
	history.record('w', 100, 1000);
	history.refund('w', 150, 1100);
	assert.deepEqual(history.listPriorGrants(1200), [{
		workspace: 'w', amount: 50, ageMs: 200, isLocal: false,
	}]);
	assert.equal(history.computeSum('w', 1200), 50);
});

Then('steady usage changes its recorded ceiling at most {int} times in {int} s', (times: number, seconds: number) => {
	const random = createRandom(1);
	const limit = limitOf(28_000);
	const records = new Records();
	const ledger = new LimitLedger(tolerance, 0, records);
	let [at, changes, recorded] = [0, 0, 0];
	while (at < 20_000 + (seconds * 1000)) {
		at += requestTokens / (limit.ratePerSecond * 0.7) * 1000 * (0.5 + random());
		records.claim(ledger, workspaceOf(limit), requestTokens, at);
		const amount = records.read('w');
		changes += at > 20_000 && amount !== recorded ? 1 : 0;
		recorded = amount;
	}

	assert.ok(changes <= times, `${changes} changes`);
});

Then('what a silent entry holds counts beyond its window, and that of an entry that calls doesn\'t', () => {
	const exact = {windowMs: 8000, overage: 0, slack: 0};
	const calls = new EntryCalls(exact.windowMs);
	const window = new LimitWindow(smallLimit, exact, calls);
	calls.note('silent', 1000);
	window.take(30, 1000, 'silent');
	calls.note('calling', 1000);
	window.take(20, 1000, 'calling');
	calls.note('calling', 8500);
	assert.equal(window.computeUsed(9000), 50);
	assert.equal(window.computeUsed(9200), 30);
	assert.equal(window.computeUsed(14_200), 30);
	assert.equal(window.computeUsed(14_251), 0);

	calls.note('silent', 20_000);
	window.take(30, 20_000, 'silent');
	assert.equal(window.computeUsed(28_200), 30);
	calls.note('silent', 28_300);
	assert.equal(window.computeUsed(28_300), 0);
});
