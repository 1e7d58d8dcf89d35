/**
 * Steps for the recording of grants, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {LimitUnit, type Workspace} from 'mastvalve-access';
import {
	FleetCommandKind, FleetMachine, type FleetCommand, type RecordedGrants, type ServingConfiguration,
} from 'mastvalve-fleet';
import {assumeType} from 'mastvalve-utils';
import {VirtualTime} from '../../../features/support/virtual-time.js';
import {LimitService, type LimitResponse} from '../src/index.js';

enum Fate {
	Committed = 'commit',
	Failed = 'fail',
	Lost = 'never come',
}

type RecordsWorld = World & {
	time: VirtualTime;
	machine: FleetMachine;
	service: LimitService;
	fate: Fate;
	committed: RecordedGrants[][];
	proposals: number;
	names: string[];
	response: LimitResponse | undefined;
	answeredAfterMs: number;
};

const commitMs = 10;
const windowMs = 8000;

const createWorkspace = (name: string): Workspace => ({
	name,
	keyDigests: [],
	priority: 0,
	limit: {
		unit: LimitUnit.Tokens, ratePerSecond: 0, burst: 10_000, plainTokens: 0,
	},
});

const commit = async (world: RecordsWorld, command: FleetCommand): Promise<boolean> => {
	world.proposals += 1;
	const {fate} = world;
	await world.time.wait(fate === Fate.Lost ? Number.MAX_SAFE_INTEGER : commitMs);
	if (fate === Fate.Committed && command.kind === FleetCommandKind.RecordGrants) {
		world.machine.apply(command, world.committed.length + 1);
		world.committed.push(command.grants);
	}

	return fate === Fate.Committed;
};

const start = (world: RecordsWorld, fate: Fate, count: number): void => {
	world.time = new VirtualTime();
	world.machine = new FleetMachine();
	world.fate = fate;
	world.committed = [];
	world.proposals = 0;
	world.names = Array.from({length: count}, (_, index) => `w${index}`);
	const configuration = assumeType<ServingConfiguration>({workspaces: world.names.map(name => createWorkspace(name))});
	world.service = new LimitService({
		tolerance: {windowMs, overage: 0.2, slack: 0},
		readConfiguration: () => configuration,
		findEndpoint: () => undefined,
		readTerm: () => 1,
		recordedGrants: {read: name => world.machine.readRecordedGrants(name), listWorkspaces: () => world.machine.listGrantedWorkspaces()},
		propose: async command => commit(world, command),
		wait: world.time.wait,
		now: () => world.time.clock.now(),
	});
};

Given('a leader that commits within 10 ms, and {int} workspaces that may use 10000 in a window', function (this: RecordsWorld, count: number) {
	start(this, Fate.Committed, count);
});

Given('a leader whose commits {string}, and {int} workspaces that may use 10000 in a window', function (this: RecordsWorld, fate: string, count: number) {
	start(this, assumeType<Fate>(fate), count);
});

When('an entry claims {int} for each workspace in one call', async function (this: RecordsWorld, cost: number) {
	this.committed = [];
	const startedAt = this.time.clock.now();
	this.answeredAfterMs = Number.NaN;
	void (async () => {
		this.response = await this.service.answer({
			entry: 'entry', claims: this.names.map(workspace => ({workspace, cost})), history: [], words: [], handovers: [], unused: [], released: [],
		});
		this.answeredAfterMs = this.time.clock.now() - startedAt;
	})();

	await this.time.advance(1000);
});

When('{int} ms pass', async function (this: RecordsWorld, ms: number) {
	await this.time.advance(ms);
});

When('the window passes, and lowering the ceilings fails with an unknown outcome', async function (this: RecordsWorld) {
	await this.time.advance(2 * windowMs);
	this.fate = Fate.Failed;
	void this.service.recordGrants();
	await this.time.advance(1000);
	assert.equal(this.proposals, 2);
	this.fate = Fate.Committed;
});

Then('the call is answered after {int} ms, and all claims are granted', function (this: RecordsWorld, ms: number) {
	assert.equal(this.answeredAfterMs, ms);
	assert.deepEqual(this.response?.waitMs, this.names.map(() => 0));
});

Then('the call is not answered, after {int} ms', function (this: RecordsWorld, ms: number) {
	assert.equal(this.answeredAfterMs, ms);
	assert.equal(this.response, undefined);
});

Then('one command was committed, which holds at least {int} for each workspace', function (this: RecordsWorld, least: number) {
	const overdraft = 0.2 * 0.2 * 10_000;
	assert.equal(this.committed.length, 1);
	assert.deepEqual(this.committed[0]!.map(({workspace}) => workspace), this.names);
	assert.ok(this.committed[0]!.every(({amount}) => amount + overdraft >= least));
});

Then('no command was proposed', function (this: RecordsWorld) {
	assert.equal(this.proposals, 0);
});
