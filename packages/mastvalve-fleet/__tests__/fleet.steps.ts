/**
 * Steps of the fleet state machine.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	ChangeFeed, ConfigurationChangeKind, EndpointPhase, FleetCommandKind, FleetMachine, keyOfRoute, maxPageBytes, RouteKind, RouteTable,
	type EndpointReport, type FeedCursor, type FleetCommand, type FleetEndpoint, type FleetCursor, type Route, type StatedConfiguration,
} from '../src/index.js';

type FleetWorld = World & {machine: FleetMachine; index: number};

const stated = (version: number, source: string, routes: Route[] = []): StatedConfiguration => ({
	configuration: {
		version, routes, services: [], limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	}, source,
});

const createRoute = (path: string, timeoutMs: number): Route => ({
	name: path,
	host: 'h',
	pathPrefix: `/${path}/`,
	kind: RouteKind.Safe,
	timeoutMs,
	objectiveMs: 1,
	patienceMs: undefined,
	priority: 1,
	targets: [],
	maxAttempts: 1,
	isResumable: false,
	isAnonymous: false,
});

const report = (id: string, sequence: number, more: Partial<EndpointReport> = {}): EndpointReport => ({
	id,
	sequence,
	service: 's',
	address: `${id}:1`,
	failureDomain: 'a',
	release: 'v1',
	slots: 1,
	isLeaving: false,
	remainingMs: undefined,
	holds: [{name: 'm', adapters: []}],
	inMemory: [],
	onDisk: [],
	...more,
});

const apply = (world: FleetWorld, command: FleetCommand): void => {
	world.index += 1;
	world.machine.apply(command, world.index);
};

const begin = (world: FleetWorld): void => {
	world.machine = new FleetMachine();
	world.index = 0;
};

Given('a fleet with a configuration of version {int}', function (this: FleetWorld, version: number) {
	begin(this);
	apply(this, {kind: FleetCommandKind.Configure, stated: stated(version, 'first')});
});

When('a configuration of version {int} and another one of version {int} are applied', function (this: FleetWorld, older: number, equal: number) {
	[older, equal].forEach(version => {
		apply(this, {kind: FleetCommandKind.Configure, stated: stated(version, 'other')});
	});
});

Then('the first one of version {int} is held', function (this: FleetWorld, version: number) {
	assert.equal(this.machine.configuration?.configuration.version, version);
	assert.equal(this.machine.configuration.source, 'first');
});

Given('a fleet with a ready endpoint', function (this: FleetWorld) {
	begin(this);
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 3)});
});

When('it reports that it is leaving and an older heartbeat arrives later', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 5, {isLeaving: true})});
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 4)});
});

Then('it is leaving, and a newer heartbeat does not revert that', function (this: FleetWorld) {
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Leaving);
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 6)});
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Leaving);
});

When('it ends and a newer heartbeat arrives later', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Leave, id: 'e'});
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 9)});
});

Then('it is gone', function (this: FleetWorld) {
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Gone);
});

When('another endpoint reports from the same address', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Report, report: report('f', 1, {address: 'e:1'})});
});

When('a newer heartbeat of the former one arrives later', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 9, {address: 'e:1'})});
});

Then('the former one is gone and the new one is ready', function (this: FleetWorld) {
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Gone);
	assert.equal(this.machine.find('f')?.phase, EndpointPhase.Ready);
});

When('an adapter is recorded and a heartbeat without adapters arrives', function (this: FleetWorld) {
	apply(this, {
		kind: FleetCommandKind.RecordHoldings, holdings: {
			id: 'e', adapters: {m: ['a1']}, retiring: undefined, loading: undefined, isOrdering: false,
		},
	});
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 4)});
});

Then('the adapter is still recorded', function (this: FleetWorld) {
	assert.deepEqual(this.machine.find('e')?.holds, [{name: 'm', adapters: ['a1']}]);
});

const ids = fc.constantFrom('e1', 'e2', 'e3');

const commands = fc.array(fc.oneof(
	fc.record({
		id: ids, sequence: fc.nat(20), isLeaving: fc.boolean(), address: fc.constantFrom('x', 'y'),
	})
		.map(({id, sequence, ...more}): FleetCommand => ({kind: FleetCommandKind.Report, report: report(id, sequence, more)})),
	ids.map((id): FleetCommand => ({kind: FleetCommandKind.Leave, id})),
	ids.map((id): FleetCommand => ({kind: FleetCommandKind.Forget, ids: [id]})),
	ids.map((id): FleetCommand => ({kind: FleetCommandKind.MarkSilent, ids: [id]})),
	fc.record({version: fc.nat(30), paths: fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), {maxLength: 4}), timeoutMs: fc.constantFrom(1, 2)})
		.map(({version, paths, timeoutMs}): FleetCommand => ({kind: FleetCommandKind.Configure, stated: stated(version, `v${version}`, paths.map(path => createRoute(path, timeoutMs)))})),
	fc.record({endpointId: ids, fingerprints: fc.uniqueArray(fc.constantFrom('f', 'g'), {minLength: 1})})
		.map((crash): FleetCommand => ({kind: FleetCommandKind.RecordCrashes, reports: [crash]})),
	fc.record({workspace: fc.constantFrom('w', 'x'), amount: fc.nat(3)}).map((grant): FleetCommand => ({kind: FleetCommandKind.RecordGrants, grants: [grant]})),
	fc.constantFrom('f', 'g').map((fingerprint): FleetCommand => ({kind: FleetCommandKind.ReleaseQuarantine, fingerprints: [fingerprint]})),
), {minLength: 1, maxLength: 40});

/** Converts data as storage of a snapshot does. */
const throughJson = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text);
};

const sortBy = <T>(items: readonly T[], keyOf: (item: T) => string): T[] => items.toSorted((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));

/** Returns endpoints that have not ended; ended ones are forgotten eventually by the machine and at once by followers. */
const listLiving = (endpoints: readonly FleetEndpoint[]): FleetEndpoint[] => sortBy(endpoints.filter(({phase}) => phase !== EndpointPhase.Gone), ({id}) => id);

const describeState = (machine: FleetMachine) => ({
	version: machine.configuration?.configuration.version,
	routes: sortBy(machine.configuration?.configuration.routes ?? [], keyOfRoute),
	endpoints: listLiving(machine.list()),
	quarantined: machine.listQuarantined().toSorted(),
});

/** A follower that polls after the commands that `asks` selects, and finally until no change follows. */
const follow = (series: readonly FleetCommand[], asks: readonly boolean[]) => {
	const machine = new FleetMachine();
	const held = new Map<string, FleetEndpoint>();
	const routes = new Map<string, Route>();
	const quarantined = new Set<string>();
	let cursor: FleetCursor = {};
	let version: number | undefined;
	const ask = (): void => {
		const {endpoints, configuration, quarantine} = machine.changesSince(cursor);
		if (endpoints.isWhole) {
			held.clear();
		}

		if (configuration.isWhole) {
			routes.clear();
		}

		endpoints.changes.forEach(endpoint => {
			held.set(endpoint.id, endpoint);
		});
		configuration.changes.forEach(change => {
			if (change.kind === ConfigurationChangeKind.Route) {
				routes.set(keyOfRoute(change.route), change.route);
			}

			if (change.kind === ConfigurationChangeKind.Removal) {
				routes.delete(change.key);
			}

			version = change.kind === ConfigurationChangeKind.Version ? change.version : version;
		});
		if (quarantine.isWhole) {
			quarantined.clear();
		}

		quarantine.changes.forEach(({fingerprint, isQuarantined}) => {
			if (isQuarantined) {
				quarantined.add(fingerprint);
			} else {
				quarantined.delete(fingerprint);
			}
		});
		cursor = {endpoints: endpoints.cursor, configuration: configuration.cursor, quarantine: quarantine.cursor};
	};

	series.forEach((command, index) => {
		machine.apply(command, index + 1);
		if (asks[index % asks.length] === true) {
			ask();
		}
	});
	while (machine.hasChangesSince(cursor)) {
		ask();
	}

	return {
		machine, followed: {
			version, routes: sortBy([...routes.values()], keyOfRoute), endpoints: listLiving([...held.values()]), quarantined: [...quarantined].toSorted(),
		},
	};
};

Then('200 random series of commands give followers that poll at any time the state of the machine', () => {
	fc.assert(fc.property(commands, fc.array(fc.boolean(), {minLength: 1, maxLength: 7}), (series, asks) => {
		const {machine, followed} = follow(series, asks);
		assert.deepEqual(followed, describeState(machine));
	}), {numRuns: 200, seed: 3});
});

Then('100 random series of commands give the same state through a snapshot', () => {
	fc.assert(fc.property(commands, commands, (before, after) => {
		const whole = new FleetMachine();
		before.forEach((command, index) => {
			whole.apply(command, index + 1);
		});
		const restored = new FleetMachine();
		restored.restoreSnapshot(throughJson(whole.takeSnapshot()), before.length);
		after.forEach((command, index) => {
			whole.apply(command, before.length + index + 1);
			restored.apply(command, before.length + index + 1);
		});
		assert.deepEqual(throughJson(describeState(restored)), throughJson(describeState(whole)));
		assert.deepEqual(throughJson(restored.takeSnapshot()), throughJson(whole.takeSnapshot()));
		assert.deepEqual(['w', 'x'].map(workspace => restored.readRecordedGrants(workspace)), ['w', 'x'].map(workspace => whole.readRecordedGrants(workspace)));
	}), {numRuns: 100, seed: 4});
});

/** A feed whose pages hold two changes. */
const createPairFeed = (): ChangeFeed<string> => new ChangeFeed<string>(() => maxPageBytes / 2);

type FeedStep = {key: string; isForgotten: boolean; isSameRevision: boolean; reader: number};

const feedSteps = fc.array(fc.record<FeedStep>({
	key: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g'), isForgotten: fc.constantFrom(false, false, true), isSameRevision: fc.boolean(), reader: fc.integer({min: 0, max: 5}),
}), {minLength: 1, maxLength: 60});

/** A reader's state; a change is `key revision`. */
class Reader {
	readonly held = new Map<string, string>();
	private cursor: FeedCursor | undefined;

	/** Reads one page; returns whether no change follows. */
	read(feed: ChangeFeed<string>): boolean {
		const page = feed.readAfter(this.cursor);
		assert.ok(page.changes.length <= 2);
		if (page.isWhole) {
			this.held.clear();
		}

		page.changes.forEach(change => {
			this.held.set(change.split(' ', 1)[0]!, change);
		});
		this.cursor = page.cursor;
		return page.isLast;
	}
}

Then('{int} random series of changes give readers that read at any time exactly the kept changes, in pages of bounded size', (runs: number) => {
	fc.assert(fc.property(feedSteps, series => {
		const feed = createPairFeed();
		const readers = [new Reader(), new Reader()];
		let revision = 0;
		series.forEach(({key, isForgotten, isSameRevision, reader}) => {
			// All changes of a revision are recorded before the next read.
			if (!isSameRevision) {
				readers[reader]?.read(feed);
				revision += 1;
			}

			// A key is forgotten only after the change that records its end.
			feed.put(key, `${key} ${revision}`, revision);
			if (isForgotten) {
				feed.forget(key);
			}
		});
		readers.forEach(reader => {
			while (!reader.read(feed)) {
				// Reads until no change follows.
			}

			const there = feed.list().map(({change}) => change);
			assert.deepEqual([...reader.held.values()].filter(change => there.includes(change)).toSorted(), there.toSorted());
			// Any other key that it holds has ended, and the reader has received that change.
			const newest = new Map(series.map(({key}) => [key, key]));
			assert.ok([...reader.held.keys()].every(key => newest.has(key)));
		});
	}), {numRuns: runs, seed: 5});
});

type FeedWorld = World & {feed: ChangeFeed<string>; reader: Reader; cursor: FeedCursor | undefined};

const readPage = (world: FeedWorld) => {
	const page = world.feed.readAfter(world.cursor);
	world.cursor = page.cursor;
	return page;
};

Given('a feed of {int} changes in pages of 2', function (this: FeedWorld, count: number) {
	this.feed = createPairFeed();
	Array.from({length: count}).forEach((_, index) => {
		this.feed.put(`k${index}`, `k${index}`, index + 1);
	});
});

When('a reader has read 2 pages and a key that it has not read is forgotten', function (this: FeedWorld) {
	assert.deepEqual([readPage(this).changes, readPage(this).changes], [['k0', 'k1'], ['k2', 'k3']]);
	this.feed.forget('k8');
});

Then('it continues with the third page', function (this: FeedWorld) {
	const {isWhole, changes} = readPage(this);
	assert.deepEqual([isWhole, changes], [false, ['k4', 'k5']]);
});

When('a key that it has read is changed and forgotten', function (this: FeedWorld) {
	this.feed.put('k1', 'k1 ends', 11);
	this.feed.forget('k1');
});

Then('it starts over', function (this: FeedWorld) {
	const {isWhole, changes} = readPage(this);
	assert.deepEqual([isWhole, changes], [true, ['k0', 'k2']]);
});

const prefixes = fc.array(fc.constantFrom('a', 'b', 'ab'), {maxLength: 3}).map(parts => `/${parts.map(part => `${part}/`).join('')}`);

Then('{int} random sets of routes give the same matches as a linear search', (runs: number) => {
	const hosts = fc.constantFrom('h', 'i');
	const sets = fc.uniqueArray(fc.record({host: hosts, pathPrefix: prefixes}), {selector: keyOfRoute, maxLength: 12});
	const paths = fc.record({host: hosts, path: fc.tuple(prefixes, fc.constantFrom('', 'a', 'x')).map(parts => parts.join(''))});
	fc.assert(fc.property(sets, fc.array(paths, {minLength: 1, maxLength: 10}), (set, asked) => {
		const routes = set.map(key => ({...createRoute('r', 1), ...key}));
		const table = new RouteTable(routes);
		asked.forEach(({host, path}) => {
			const longest = routes.filter(route => route.host === host && path.startsWith(route.pathPrefix)).toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
			assert.equal(table.match(host, path), longest);
		});
	}), {numRuns: runs, seed: 6});
});
