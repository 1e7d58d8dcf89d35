/**
 * Steps of the fleet's state.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	ConfigurationChangeKind, EndpointPhase, FleetCommandKind, FleetMachine, keyOfRoute, RouteKind,
	type EndpointReport, type FleetCommand, type FleetEndpoint, type FleetPlace, type Route, type StatedConfiguration,
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
	name: path, host: 'h', pathPrefix: `/${path}/`, kind: RouteKind.Safe, timeoutMs, objectiveMs: 1, patienceMs: undefined, priority: 1, targets: [], maxAttempts: 1, isResumable: false,
});

const report = (id: string, sequence: number, more: Partial<EndpointReport> = {}): EndpointReport => ({
	id, sequence, service: 's', address: `${id}:1`, failureDomain: 'a', release: 'v1', slots: 1, isLeaving: false, remainingMs: undefined, holds: [{name: 'm', adapters: []}], inMemory: [], onDisk: [], ...more,
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

When('it says that it leaves and an older heartbeat arrives after that', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 5, {isLeaving: true})});
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 4)});
});

Then('it is leaving, and a newer heartbeat does not change that', function (this: FleetWorld) {
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Leaving);
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 6)});
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Leaving);
});

When('it ends and a newer heartbeat arrives after that', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Leave, id: 'e'});
	apply(this, {kind: FleetCommandKind.Report, report: report('e', 9)});
});

Then('it is gone', function (this: FleetWorld) {
	assert.equal(this.machine.find('e')?.phase, EndpointPhase.Gone);
});

When('another endpoint reports from the same address', function (this: FleetWorld) {
	apply(this, {kind: FleetCommandKind.Report, report: report('f', 1, {address: 'e:1'})});
});

When('a newer heartbeat of the former one arrives after that', function (this: FleetWorld) {
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

Then('the adapter is still known', function (this: FleetWorld) {
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
), {minLength: 1, maxLength: 40});

/** Plain data as a snapshot is stored. */
const throughJson = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text);
};

const sortBy = <T>(items: readonly T[], keyOf: (item: T) => string): T[] => items.toSorted((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));

/** Endpoints that have not ended; those that have are forgotten some time, by followers at once. */
const listLiving = (endpoints: readonly FleetEndpoint[]): FleetEndpoint[] => sortBy(endpoints.filter(({phase}) => phase !== EndpointPhase.Gone), ({id}) => id);

const describeState = (machine: FleetMachine) => ({
	version: machine.configuration?.configuration.version,
	routes: sortBy(machine.configuration?.configuration.routes ?? [], keyOfRoute),
	endpoints: listLiving(machine.list()),
});

/** A follower that asks after each command with a chance of one half, and at last until nothing follows. */
const follow = (series: readonly FleetCommand[], asks: readonly boolean[]) => {
	const machine = new FleetMachine();
	const held = new Map<string, FleetEndpoint>();
	const routes = new Map<string, Route>();
	let place: FleetPlace = {};
	let version: number | undefined;
	const ask = (): void => {
		const {endpoints, configuration} = machine.changesSince(place);
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
		place = {endpoints: endpoints.cursor, configuration: configuration.cursor};
	};

	series.forEach((command, index) => {
		machine.apply(command, index + 1);
		if (asks[index % asks.length] === true) {
			ask();
		}
	});
	while (machine.hasChangesSince(place)) {
		ask();
	}

	return {machine, followed: {version, routes: sortBy([...routes.values()], keyOfRoute), endpoints: listLiving([...held.values()])}};
};

Then('200 random series of commands give followers that ask at any time the state itself', () => {
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
	}), {numRuns: 100, seed: 4});
});
