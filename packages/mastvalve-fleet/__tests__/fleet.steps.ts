/**
 * Steps of the fleet's state.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	EndpointPhase, FleetCommandKind, FleetMachine, type EndpointReport, type FleetCommand, type FleetEndpoint, type StatedConfiguration,
} from '../src/index.js';

type FleetWorld = World & {machine: FleetMachine; index: number};

const stated = (version: number, source: string): StatedConfiguration => ({
	configuration: {
		version, routes: [], services: [], limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	}, source,
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
	fc.nat(9).map((version): FleetCommand => ({kind: FleetCommandKind.Configure, stated: stated(version, `v${version}`)})),
), {minLength: 1, maxLength: 40});

/** Plain data as a snapshot is stored. */
const throughJson = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text);
};

const describeState = (machine: FleetMachine) => ({
	version: machine.configuration?.configuration.version,
	endpoints: machine.list().toSorted((a, b) => (a.id < b.id ? -1 : 1)),
});

/** A follower that asks after each command with a chance of one half. */
const follow = (series: readonly FleetCommand[], asks: readonly boolean[]) => {
	const machine = new FleetMachine();
	const held = new Map<string, FleetEndpoint>();
	let revision = -1;
	let version: number | undefined;
	series.forEach((command, index) => {
		machine.apply(command, index + 1);
		if (asks[index % asks.length] === true || index === series.length - 1) {
			const update = machine.changesSince(revision);
			if (update.isWhole) {
				held.clear();
			}

			update.endpoints.forEach(endpoint => {
				held.set(endpoint.id, endpoint);
			});
			version = update.configuration?.version ?? version;
			revision = update.revision;
		}
	});
	return {machine, followed: {version, endpoints: [...held.values()].toSorted((a, b) => (a.id < b.id ? -1 : 1))}};
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
	}), {numRuns: 100, seed: 4});
});
