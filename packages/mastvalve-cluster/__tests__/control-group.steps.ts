/**
 * Steps for a group of control instances, in one process over loopback connections.
 */

import {strict as assert} from 'node:assert';
import {
	mkdtemp, readdir, rm, stat,
} from 'node:fs/promises';
import {createServer, type Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, systemClock, waitFor} from 'mastvalve-utils';
import {
	defaultReplicaRules, MessageKind, Replica, Role, type DurableWrite, type Journal,
} from 'mastvalve-replication';
import {findFreePorts} from '../../../features/support/free-ports.js';
import {waitUntil} from '../../../features/support/conditions.js';
import {
	ControlDirectory, ControlGroup, decideFormation, nameFounder, PeerClient, startPeerServer, type Identity,
} from '../src/index.js';

type Member = {address: string; folder: string; group: ControlGroup; applied: unknown[]; server: Server; client: PeerClient};

/** An instance without a log. */
type DirectoryInstance = {directory: ControlDirectory | undefined; server: Server; client: PeerClient; ending: AbortController};

/** A member with an injected disk fault; `repair` removes the fault. */
type FaultyDisk = {member: Member; repair: () => void};

type GroupWorld = World & {faultyDisk: FaultyDisk; /** Logs that a member belonged to after each rejected record. */ rejectedLogs: Array<string | undefined>; members: Member[]; folders: string[]; seeds: string[]; proposed: string[]; directories: DirectoryInstance[]; peerAddress: string};

const startDirectory = async (world: GroupWorld, address: string, isFirstStart: boolean): Promise<DirectoryInstance> => {
	const client = new PeerClient();
	const ending = new AbortController();
	const directory = new ControlDirectory({
		address, isFirstStart, readSeeds: () => world.seeds, client, clock: systemClock, listKnownAddresses: () => [], onError: () => undefined,
	});
	const listening = await startPeerServer(address, new Map(directory.handlers()), () => undefined);
	void directory.run(ending.signal);
	return {
		directory, server: listening._unsafeUnwrap(), client, ending,
	};
};

const stopDirectory = ({server, client, ending}: DirectoryInstance): void => {
	ending.abort();
	server.close();
	server.closeAllConnections();
	client.close();
};

/** Starts a member; `prepare` is called before it runs. */
const startMember = async (world: GroupWorld, address: string, isFirstStart: boolean, {voters = 5, prepare}: {voters?: number; prepare?: (group: ControlGroup) => void} = {}): Promise<Member> => {
	const folder = await mkdtemp(join(tmpdir(), 'mastvalve-group-'));
	world.folders.push(folder);
	const applied: unknown[] = [];
	const client = new PeerClient();
	const group = await ControlGroup.open({
		address,
		dataFolder: folder,
		isFirstStart,
		readSeeds: () => world.seeds,
		voterCount: voters,
		client,
		clock: systemClock,
		machine: {
			apply(command) {
				applied.push(command);
				return applied.length;
			},
			takeSnapshot: () => [...applied],
			restoreSnapshot(data) {
				applied.splice(0, applied.length, ...assumeType<unknown[]>(data));
			},
		},
		onEvent: () => undefined,
		onError: () => undefined,
	});
	const listening = await startPeerServer(address, new Map(group.handlers()), () => undefined);
	const server = listening._unsafeUnwrap();
	prepare?.(group);
	void group.run();
	return {
		address, folder, group, applied, server, client,
	};
};

const stopMember = async ({group, server, client}: Member): Promise<void> => {
	await group.stop();
	server.close();
	server.closeAllConnections();
	client.close();
};

/** Proposes a command at a member until it is committed. */
const propose = async (world: GroupWorld, member: Member, command: string): Promise<void> => {
	await waitUntil(`${command} is committed`, async () => {
		const result = await member.group.propose(command);
		return result.isOk();
	});
	world.proposed.push(command);
};

const hasAll = (world: GroupWorld, member: Member): boolean => world.proposed.every(command => member.applied.includes(command));

After(async function (this: GroupWorld) {
	await Promise.all((this.members ?? []).map(async member => stopMember(member)));
	(this.directories ?? []).forEach(directory => {
		stopDirectory(directory);
	});

	await Promise.all((this.folders ?? []).map(async folder => rm(folder, {recursive: true, force: true})));
});

Given('a control group of one instance', {timeout: 20_000}, async function (this: GroupWorld) {
	this.folders = [];
	this.proposed = [];
	const [port] = await findFreePorts(1);
	this.seeds = [`127.0.0.1:${port}`];
	this.members = [await startMember(this, `127.0.0.1:${port}`, true, {voters: 1})];
	await waitUntil('it leads', async () => this.members[0]!.group.isLeading);
});

Given('a control instance whose disk rejects the record of its log {int} times', {timeout: 20_000}, async function (this: GroupWorld, times: number) {
	this.folders = [];
	this.proposed = [];
	this.rejectedLogs = [];
	const [port] = await findFreePorts(1);
	this.seeds = [`127.0.0.1:${port}`];
	this.members = [await startMember(this, `127.0.0.1:${port}`, true, {
		voters: 1, prepare: group => {
			const {journal} = assumeType<{journal: Journal}>(group);
			const {files} = assumeType<{files: {rename: (from: string, to: string) => Promise<void>}}>(journal);
			const rename = files.rename.bind(files);
			files.rename = async (from, to) => {
				if (this.rejectedLogs.length < times) {
					setImmediate(() => {
						this.rejectedLogs.push(journal.header.clusterId);
					});
					throw new Error('ENOSPC: no space left on device');
				}

				await rename(from, to);
			};
		},
	})];
	await waitUntil('the disk has rejected the record', async () => this.rejectedLogs.length === times);
});

Then('it belongs to no log while the disk rejects the record', function (this: GroupWorld) {
	assert.deepEqual(this.rejectedLogs, this.rejectedLogs.map(() => undefined));
});

Then('it leads and commits changes after that', {timeout: 10_000}, async function (this: GroupWorld) {
	const [member] = this.members;
	await waitUntil('it leads', async () => member!.group.isLeading);
	await propose(this, member!, 'after the disk recovered');
});

Then('a read succeeds while each of {int} changes is written', async function (this: GroupWorld, count: number) {
	const {group} = this.members[0]!;
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		const proposing = group.propose(`change-${index}`);
		// Lets the change be appended, so that its write is in flight.
		await Promise.resolve();
		await Promise.resolve();
		const read = await group.waitUntilFresh();
		const proposed = await proposing;
		assert.equal(proposed.isOk(), true);
		assert.equal(read.isOk(), true);
	}, Promise.resolve());
});

Given('{int} control instances whose seeds are the first {int}', async function (this: GroupWorld, count: number, known: number) {
	this.folders = [];
	this.proposed = [];
	const ports = await findFreePorts(count);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	this.seeds = addresses.slice(0, known);
	this.members = await Promise.all(addresses.slice(0, count).map(async address => startMember(this, address, true)));
});

Given('{int} control instances whose seeds are {int} instances without a log', async function (this: GroupWorld, count: number, known: number) {
	await startWithDirectories(this, count, known, 0);
});

Given('{int} control instances whose seeds are the first of them and {int} instances without a log', async function (this: GroupWorld, count: number, known: number) {
	await startWithDirectories(this, count, known, 1);
});

/** Starts members and instances without a log; the seeds are all of the latter and the first `seedMembers` members. */
const startWithDirectories = async (world: GroupWorld, count: number, directories: number, seedMembers: number): Promise<void> => {
	world.folders = [];
	world.proposed = [];
	const ports = await findFreePorts(count + directories);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	world.seeds = [...addresses.slice(count), ...addresses.slice(0, seedMembers)];
	world.directories = await Promise.all(addresses.slice(count).map(async address => startDirectory(world, address, true)));
	world.members = await Promise.all(addresses.slice(0, count).map(async address => startMember(world, address, true)));
};

Then('the instances without a log know the addresses of the control instances', async function (this: GroupWorld) {
	const addresses = this.members.map(({address}) => address).toSorted();
	await waitUntil('all addresses are known', async () => this.directories.every(({directory}) => JSON.stringify(directory?.listControlAddresses().toSorted()) === JSON.stringify(addresses)));
});

Given('an instance without a log at its first start', async function (this: GroupWorld) {
	const [port] = await findFreePorts(1);
	this.seeds = [];
	this.peerAddress = `127.0.0.1:${port}`;
	this.directories = [await startDirectory(this, this.peerAddress, true)];
});

const announceTo = async (address: string, ids: readonly string[]): Promise<void> => {
	const client = new PeerClient();
	await ids.reduce<Promise<void>>(async (before, id) => {
		await before;
		await client.call({
			address, path: '/announce', body: {id, mayBegin: true}, idleTimeoutMs: 1000,
		});
	}, Promise.resolve());
	client.close();
};

const readFounder = async (address: string): Promise<string | undefined> => {
	const client = new PeerClient();
	const answer = await client.call<Identity>({
		address, path: '/identify', body: {}, idleTimeoutMs: 1000,
	});
	client.close();
	return answer._unsafeUnwrap().founder;
};

When('two instances send it announcements', async function (this: GroupWorld) {
	await announceTo(this.peerAddress, ['x:1#1', 'a:1#2']);
});

Then('it names the first of them as founder', async function (this: GroupWorld) {
	assert.equal(await readFounder(this.peerAddress), 'x:1#1');
});

Then('after a restart it names no founder', async function (this: GroupWorld) {
	this.directories.forEach(directory => {
		stopDirectory(directory);
	});
	this.directories = [await startDirectory(this, this.peerAddress, false)];
	await announceTo(this.peerAddress, ['a:1#2']);
	assert.equal(await readFounder(this.peerAddress), undefined);
});

Then('all of them become voters of the same log', {timeout: 30_000}, async function (this: GroupWorld) {
	await waitUntil('all are voters', async () => this.members.every(({group}) => group.hasAllVoters && group.isCurrent));
});

Then('a change proposed at any of them is applied at all of them', async function (this: GroupWorld) {
	await Promise.all(this.members.map(async (member, index) => propose(this, member, `change-${index}`)));
	await waitUntil('all have all changes', async () => this.members.every(member => hasAll(this, member)));
});

When('the last one restarts with an empty disk', async function (this: GroupWorld) {
	const last = this.members.at(-1)!;
	await stopMember(last);
	this.members = [...this.members.slice(0, -1), await startMember(this, last.address, false)];
});

Then('it is a voter again under a new identity, and has all changes', {timeout: 30_000}, async function (this: GroupWorld) {
	const last = this.members.at(-1)!;
	await waitUntil('the new identity votes', async () => this.members.every(({group}) => group.voters.includes(last.group.ownId) && group.hasAllVoters));
	await waitUntil('it has all changes', async () => hasAll(this, last));
});

When('the first one is removed and a new instance starts at another address', async function (this: GroupWorld) {
	const [first, ...others] = this.members;
	await stopMember(first!);
	const [port] = await findFreePorts(1);
	this.members = [...others, await startMember(this, `127.0.0.1:${port}`, false)];
});

Then('the new instance replaces it and has all changes', {timeout: 30_000}, async function (this: GroupWorld) {
	const newInstance = this.members.at(-1)!;
	await waitUntil('the new instance votes', async () => this.members.every(({group}) => group.voters.includes(newInstance.group.ownId) && group.hasAllVoters));
	await propose(this, newInstance, 'last-change');
	await waitUntil('all have all changes', async () => this.members.every(member => hasAll(this, member)));
});

const identity = (replicaId: string, more: Partial<Identity> = {}): Identity => ({
	address: replicaId.split('#')[0] ?? '', replicaId, clusterId: undefined, initialVoters: [], mayBegin: true, peers: [], founder: undefined, ...more,
});

/** An instance without a log. */
const identifyDirectory = (address: string, founder?: string): Identity => identity(address, {replicaId: undefined, mayBegin: founder !== undefined, founder});

const seedAddresses = ['a:1', 'b:1', 'c:1'];

Then('an instance that discovers a log joins it, whatever the other answers are', () => {
	const formed = identity('d:1#4', {clusterId: 'old', initialVoters: ['x:1#1']});
	const formation = decideFormation(identity('a:1#1'), seedAddresses, [identity('b:1#2'), identity('c:1#3'), formed]);
	assert.deepEqual(formation, {clusterId: 'old', initialVoters: ['x:1#1']});
});

/** The decision of an instance that has recorded the founders of its first decision, if it gave any, given answers that have too. */
const decideAfterRecord = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): ReturnType<typeof decideFormation> => {
	const first = decideFormation(own, seeds, answers);
	assert.equal(first?.clusterId, undefined);
	const initialVoters = first?.initialVoters ?? [];
	return decideFormation({...own, initialVoters}, seeds, answers.map(answer => ({...answer, initialVoters: initialVoters.includes(answer.replicaId ?? '') ? initialVoters : []})));
};

Then('the seeds record the same founders as soon as all of them have answered, and not before', () => {
	const [a, b, c] = [identity('a:1#1'), identity('b:1#2'), identity('c:1#3')] as const;
	assert.equal(decideFormation(a, seedAddresses, [b]), undefined);
	const founders = {clusterId: undefined, initialVoters: ['a:1#1', 'b:1#2', 'c:1#3']};
	assert.deepEqual(decideFormation(a, seedAddresses, [b, c]), founders);
	assert.deepEqual(decideFormation(b, seedAddresses, [c, a]), founders);
});

Then('they create the same log as soon as all of them have recorded the same founders, and not before', () => {
	const founders = ['a:1#1', 'b:1#2', 'c:1#3'];
	const record = {initialVoters: founders};
	const [a, b, c] = [identity('a:1#1', record), identity('b:1#2', record), identity('c:1#3', record)] as const;
	const formation = decideFormation(a, seedAddresses, [b, c]);
	assert.deepEqual(formation?.initialVoters, founders);
	assert.notEqual(formation?.clusterId, undefined);
	assert.deepEqual(decideFormation(b, seedAddresses, [c, a]), formation);
	assert.equal(decideFormation(a, seedAddresses, [b]), undefined);
	assert.equal(decideFormation(a, seedAddresses, [b, identity('c:1#3')]), undefined);
	assert.equal(decideFormation(a, seedAddresses, [b, identity('c:1#3', {initialVoters: ['b:1#2', 'c:1#3']})]), undefined);
});

Then('an instance that is not a seed, or whose disk was initialized after the first start, creates no log', () => {
	const others = [identity('b:1#2'), identity('c:1#3')];
	assert.equal(decideFormation(identity('d:1#4'), seedAddresses, [identity('a:1#1'), ...others]), undefined);
	assert.equal(decideFormation(identity('a:1#1', {mayBegin: false}), seedAddresses, others), undefined);
});

Then('the seeds with a replica create the log without the others', () => {
	const [b, c] = [identity('b:1#2'), identity('c:1#3')] as const;
	assert.equal(decideFormation(b, seedAddresses, [c]), undefined);
	const formation = decideAfterRecord(b, seedAddresses, [identifyDirectory('a:1', 'x:1#9'), c]);
	assert.deepEqual(formation?.initialVoters, ['b:1#2', 'c:1#3']);
	assert.deepEqual(decideAfterRecord(c, seedAddresses.toReversed(), [b, identifyDirectory('a:1')]), formation);
});

Then('a seed whose disk was initialized after the first start leaves it to the others, once it has answered', () => {
	const [a, b, c] = [identity('a:1#1', {mayBegin: false}), identity('b:1#2'), identity('c:1#3')] as const;
	assert.equal(decideFormation(b, seedAddresses, [c]), undefined);
	assert.equal(decideFormation(a, seedAddresses, [b, c]), undefined);
	const formation = decideAfterRecord(b, seedAddresses, [a, c]);
	assert.deepEqual(formation?.initialVoters, ['b:1#2', 'c:1#3']);
	assert.deepEqual(decideAfterRecord(c, seedAddresses, [a, b]), formation);
});

Then('a log that a seed with a lost disk may have created is created by nobody under other founders', () => {
	const founders = ['a:1#1', 'b:1#2', 'c:1#3'];
	const replaced = identity('a:1#9', {mayBegin: false});
	const c = identity('c:1#3');
	assert.deepEqual(decideFormation(c, seedAddresses, [replaced, identity('b:1#2', {initialVoters: founders})]), {clusterId: undefined, initialVoters: founders});
	const formation = decideFormation({...c, initialVoters: founders}, seedAddresses, [replaced, identity('b:1#2', {initialVoters: founders})]);
	assert.deepEqual(formation?.initialVoters, founders);
	assert.equal(decideFormation({...c, initialVoters: founders}, seedAddresses, [replaced, identity('b:1#2')]), undefined);
});

Then('the founder creates the log alone, and no other instance does', () => {
	const seeds = [identifyDirectory('c:1', 'd:1#4'), identifyDirectory('b:1'), identifyDirectory('a:1', 'd:1#4')];
	assert.deepEqual(decideAfterRecord(identity('d:1#4'), seedAddresses.toReversed(), seeds)?.initialVoters, ['d:1#4']);
	assert.equal(decideFormation(identity('d:1#5'), seedAddresses, seeds), undefined);
	assert.equal(decideFormation(identity('d:1#4', {mayBegin: false}), seedAddresses, seeds), undefined);
	assert.equal(decideFormation(identity('d:1#4'), seedAddresses, seeds.slice(0, 2)), undefined);
});

Then('nobody creates it while a seed names another founder, or none though it may, also after the founder has recorded itself', () => {
	const [a, b, c] = [identifyDirectory('a:1', 'd:1#4'), identifyDirectory('b:1', 'd:1#4'), identifyDirectory('c:1', 'd:1#4')] as const;
	const undecided = {...c, founder: undefined};
	const other = identifyDirectory('c:1', 'e:1#5');
	[identity('d:1#4'), identity('d:1#4', {initialVoters: ['d:1#4']}), identity('e:1#5', {initialVoters: ['e:1#5']})].forEach(own => {
		assert.equal(decideFormation(own, seedAddresses, [a, b, undecided]), undefined);
		assert.equal(decideFormation(own, seedAddresses, [a, b, other]), undefined);
		assert.equal(decideFormation(own, seedAddresses, [a, b]), undefined);
	});
});

Then('seeds repeat the founder that another one names, and leave it to the next one if they have restarted', () => {
	const own = identity('b:1', {replicaId: undefined});
	const first = {...own, address: 'a:1'};
	const last = {...own, address: 'c:1'};
	assert.equal(nameFounder(first, seedAddresses, [], 'd:1#4'), 'd:1#4');
	assert.equal(nameFounder(own, seedAddresses, [last], 'd:1#4'), undefined);
	assert.equal(nameFounder(own, seedAddresses, [first, last], 'd:1#4'), undefined);
	assert.equal(nameFounder(own, seedAddresses, [{...first, founder: 'e:1#5'}, last], 'd:1#4'), 'e:1#5');
	assert.equal(nameFounder(own, seedAddresses, [{...first, mayBegin: false}, last], 'd:1#4'), 'd:1#4');
	assert.equal(nameFounder(own, seedAddresses, [{...first, mayBegin: false}, {...last, founder: 'e:1#5'}], 'd:1#4'), 'e:1#5');
	assert.equal(nameFounder({...own, mayBegin: false}, seedAddresses, [{...first, founder: 'e:1#5'}, last], 'd:1#4'), undefined);
});

Given('a peer whose connections stall after their first response, while new ones work', async function (this: GroupWorld) {
	const answered = new Set<unknown>();
	const [port] = await findFreePorts(1);
	this.peerAddress = `127.0.0.1:${port}`;
	const server = createServer((req, res) => {
		if (answered.has(req.socket)) {
			return;
		}

		answered.add(req.socket);
		// The delay makes concurrent calls use separate connections.
		setTimeout(() => {
			res.end('true');
		}, responseDelayMs);
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	this.directories = [{
		directory: undefined, server, client: new PeerClient(), ending: new AbortController(),
	}];
});

/** Time until a peer sends its response, ms; a third of the idle timeout of the calls. */
const responseDelayMs = 100;

const callStallingPeer = async ({directories, peerAddress}: GroupWorld): Promise<boolean> => {
	const answer = await directories[0]!.client.call({
		address: peerAddress, path: '/any', body: {}, idleTimeoutMs: responseDelayMs * 3,
	});
	return answer.isOk();
};

When('{int} concurrent calls have succeeded', async function (this: GroupWorld, count: number) {
	const answers = await Promise.all(Array.from({length: count}, async () => callStallingPeer(this)));
	assert.equal(answers.every(Boolean), true);
});

Then('the next call times out', async function (this: GroupWorld) {
	assert.equal(await callStallingPeer(this), false);
});

Then('the call after that succeeds', async function (this: GroupWorld) {
	assert.equal(await callStallingPeer(this), true);
});

type ReplicaWorld = World & {replica: Replica; timeoutMs: number; startedAt: number};

/** Sends a pre-vote request, which is granted unless a leader may still hold a lease through this replica; returns whether it was granted. */
const requestPreVote = ({replica}: ReplicaWorld, now: number): boolean => {
	replica.receive({
		kind: MessageKind.PreVoteRequest, from: 'b', to: 'a', term: replica.term + 1, lastIndex: 9, lastTerm: 9, transfer: false,
	}, now);
	return replica.takeEffects().messages.some(message => message.kind === MessageKind.PreVoteResponse && message.granted);
};

Given('a replica that starts {int} ms after its process, with an election timeout of {int} ms', function (this: ReplicaWorld, loadMs: number, timeoutMs: number) {
	this.startedAt = 1000;
	this.timeoutMs = timeoutMs;
	this.replica = new Replica({
		id: 'a', initialMembership: {voters: ['a', 'b', 'c'], learners: []}, restored: {hardState: {term: 1}, snapshot: undefined, entries: []}, times: {electionTimeoutMs: timeoutMs, heartbeatMs: 100, maxClockDrift: 0.1}, rules: defaultReplicaRules, random: () => 0, now: this.startedAt + loadMs, processStartedAt: this.startedAt,
	});
});

Then('it grants no vote and starts no election until {int} ms after the start of its process', function (this: ReplicaWorld, quietMs: number) {
	const now = this.startedAt + quietMs - 1;
	this.replica.tick(now);
	assert.equal(this.replica.role, Role.Follower);
	assert.equal(requestPreVote(this, now), false);
});

Then('it grants a vote {int} ms later', function (this: ReplicaWorld, afterMs: number) {
	assert.equal(requestPreVote(this, this.startedAt + this.timeoutMs + afterMs), true);
});

type LargeLogWorld = GroupWorld & {last: {value: unknown}};

/** Starts a group of one instance whose state is the last applied change. */
const startSingleMember = async (world: LargeLogWorld, folder: string): Promise<void> => {
	const client = new PeerClient();
	world.last = {value: undefined};
	const {last} = world;
	const group = await ControlGroup.open({
		address: world.seeds[0]!,
		dataFolder: folder,
		isFirstStart: true,
		readSeeds: () => world.seeds,
		voterCount: 1,
		client,
		clock: systemClock,
		machine: {
			apply(command) {
				last.value = command;
				return true;
			},
			takeSnapshot: () => last.value,
			restoreSnapshot(data) {
				last.value = data;
			},
		},
		onEvent: () => undefined,
		onError: () => undefined,
	});
	const listening = await startPeerServer(world.seeds[0]!, new Map(group.handlers()), () => undefined);
	void group.run();
	world.members = [{
		address: world.seeds[0]!, folder, group, applied: [], server: listening._unsafeUnwrap(), client,
	}];
	await waitUntil('it leads', async () => group.isLeading);
};

Given('a control group of one instance whose state is its last change', {timeout: 20_000}, async function (this: LargeLogWorld) {
	const [port] = await findFreePorts(1);
	this.seeds = [`127.0.0.1:${port}`];
	this.proposed = [];
	this.folders = [await mkdtemp(join(tmpdir(), 'mastvalve-group-'))];
	await startSingleMember(this, this.folders[0]!);
});

When('{int} changes of {int} KB are proposed', {timeout: 30_000}, async function (this: LargeLogWorld, count: number, kilobytes: number) {
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		await propose(this, this.members[0]!, `${index}-${'x'.repeat(kilobytes * 1000)}`);
	}, Promise.resolve());
});

Then('its log occupies at most {int} MB on disk', async function (this: LargeLogWorld, megabytes: number) {
	const [folder] = this.folders;
	const names = await readdir(folder!);
	const sizes = await Promise.all(names.map(async name => stat(join(folder!, name)).then(({size}) => size)));
	const total = sizes.reduce((sum, size) => sum + size, 0);
	assert.ok(total <= megabytes * 1_000_000, `${total} bytes`);
});

Then('it keeps at most {int} log entries in memory', function (this: LargeLogWorld, most: number) {
	const held = this.members[0]!.group.logLength;
	assert.ok(held <= most, `${held} entries`);
});

Then('after a restart it has the last change', {timeout: 20_000}, async function (this: LargeLogWorld) {
	await stopMember(this.members[0]!);
	await startSingleMember(this, this.folders[0]!);
	assert.equal(this.last.value, this.proposed.at(-1));
});

type SlowPeerWorld = GroupWorld & {chunkCount: number; intervalMs: number; chunksToSend: number};

Given('a peer that sends its response in {int} chunks at intervals of {int} ms', async function (this: SlowPeerWorld, chunkCount: number, intervalMs: number) {
	this.chunkCount = chunkCount;
	this.chunksToSend = chunkCount;
	this.intervalMs = intervalMs;
	const [port] = await findFreePorts(1);
	this.peerAddress = `127.0.0.1:${port}`;
	const server = createServer((_req, res) => {
		const {chunksToSend} = this;
		let sent = 0;
		const timer = setInterval(() => {
			sent += 1;
			if (sent <= chunksToSend) {
				res.write(sent === 1 ? '1' : '0');
			}

			if (sent === chunkCount && chunksToSend === chunkCount) {
				res.end();
			}
		}, intervalMs);
		res.writeHead(200, {'content-length': chunkCount});
		res.once('close', () => {
			clearInterval(timer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	this.directories = [{
		directory: undefined, server, client: new PeerClient(), ending: new AbortController(),
	}];
});

const callSlowPeer = async ({directories, peerAddress}: GroupWorld, idleTimeoutMs: number) => directories[0]!.client.call<number>({
	address: peerAddress, path: '/any', body: {}, idleTimeoutMs,
});

Then('a call with an idle timeout of {int} ms gets the whole response', async function (this: SlowPeerWorld, idleTimeoutMs: number) {
	const answer = await callSlowPeer(this, idleTimeoutMs);
	assert.equal(answer._unsafeUnwrap(), 10 ** (this.chunkCount - 1));
});

Then('a call with an idle timeout of {int} ms fails if the peer stalls in the middle of its response', async function (this: SlowPeerWorld, idleTimeoutMs: number) {
	this.chunksToSend = 3;
	const startedAt = performance.now();
	const answer = await callSlowPeer(this, idleTimeoutMs);
	const elapsedMs = performance.now() - startedAt;
	assert.match(answer._unsafeUnwrapErr().message, /nothing moved for 200 ms after 3 bytes/v);
	assert.ok(elapsedMs >= idleTimeoutMs, `${elapsedMs} ms`);
});

/** Finds the leader by its own state, since the leader that other members report may be stale. */
const findLeader = (world: GroupWorld): Member | undefined => world.members.find(({group}) => group.isLeading);

/** Injects a fault into the journal writes of a member. */
const injectDiskFault = (member: Member, persistWithFault: (write: DurableWrite, persist: (write: DurableWrite) => Promise<void>) => Promise<void>): FaultyDisk => {
	const {journal} = assumeType<{journal: Journal}>(member.group);
	const persist = journal.persist.bind(journal);
	journal.persist = async write => persistWithFault(write, persist);
	return {
		member,
		repair() {
			journal.persist = persist;
		},
	};
};

const injectLeaderDiskFault = async (world: GroupWorld, persistWithFault: Parameters<typeof injectDiskFault>[1]): Promise<void> => {
	await waitUntil('a member leads', async () => findLeader(world) !== undefined);
	const leader = findLeader(world);
	assert.ok(leader);
	world.faultyDisk = injectDiskFault(leader, persistWithFault);
};

When('the disk of the leader refuses every write', async function (this: GroupWorld) {
	await injectLeaderDiskFault(this, async () => {
		throw new Error('ENOSPC: no space left on device');
	});
});

When('the disk of the leader answers no write', async function (this: GroupWorld) {
	const held: Array<() => void> = [];
	await injectLeaderDiskFault(this, async (write, persist) => {
		await new Promise<void>(resolve => {
			held.push(resolve);
		});
		await persist(write);
	});
	const {repair} = this.faultyDisk;
	this.faultyDisk.repair = () => {
		repair();
		held.forEach(resolve => {
			resolve();
		});
	};
});

When('each write to the disk of the leader takes {int} ms', async function (this: GroupWorld, ms: number) {
	await injectLeaderDiskFault(this, async (write, persist) => {
		await waitFor(ms);
		await persist(write);
	});
});

Then('another one leads within {int} seconds and commits changes', {timeout: 15_000}, async function (this: GroupWorld, seconds: number) {
	const {member} = this.faultyDisk;
	// A change that it proposes itself makes it write; it must not acknowledge that change.
	const own = member.group.propose('proposed at the faulty leader');
	const startedAt = performance.now();
	await waitUntil('another one leads', async () => this.members.some(other => other !== member && other.group.isLeading));
	assert.ok(performance.now() - startedAt < seconds * 1000, `${Math.round(performance.now() - startedAt)} ms`);
	const other = this.members.find(({group}) => group.isLeading && group !== member.group);
	assert.ok(other);
	await propose(this, other, 'committed during the disk fault');
	const outcome = await own;
	assert.equal(outcome.isOk(), false);
});

Then('the former leader has acknowledged no change since the fault', async function (this: GroupWorld) {
	const {member} = this.faultyDisk;
	assert.equal(member.applied.includes('committed during the disk fault'), false);
	assert.equal(member.group.isLeading, false);
});

When('its disk recovers', function (this: GroupWorld) {
	this.faultyDisk.repair();
});

Then('it has all changes', {timeout: 15_000}, async function (this: GroupWorld) {
	await waitUntil('the former leader has all changes', async () => hasAll(this, this.faultyDisk.member));
});

Then('it remains the leader for {int} seconds and commits changes', {timeout: 15_000}, async function (this: GroupWorld, seconds: number) {
	const {member} = this.faultyDisk;
	const {term} = member.group;
	const deadline = performance.now() + (seconds * 1000);
	let count = 0;
	while (performance.now() < deadline) {
		count += 1;
		// Sequential changes, each through the slow disk.
		// eslint-disable-next-line no-await-in-loop
		await propose(this, member, `slow ${count}`);
	}

	assert.ok(member.group.isLeading);
	assert.equal(member.group.term, term);
});
