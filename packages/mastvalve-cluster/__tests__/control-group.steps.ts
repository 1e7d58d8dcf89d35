/**
 * Steps of a group of control instances, in one process over loopback connections.
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
	ControlDirectory, ControlGroup, decideFormation, PeerClient, startPeerServer, type Identity,
} from '../src/index.js';

/** A member with all that it runs on. */
type Member = {address: string; folder: string; group: ControlGroup; applied: unknown[]; server: Server; client: PeerClient};

/** An instance without a log. */
type Guide = {directory: ControlDirectory | undefined; server: Server; client: PeerClient; ending: AbortController};

/** A member whose disk is at fault, and how it becomes well again. */
type FaultyDisk = {member: Member; repair: () => void};

type GroupWorld = World & {faulty: FaultyDisk; members: Member[]; folders: string[]; seeds: string[]; proposed: string[]; guides: Guide[]; guideAddress: string};

const startGuide = async (world: GroupWorld, address: string, isFirstStart: boolean): Promise<Guide> => {
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

const stopGuide = ({server, client, ending}: Guide): void => {
	ending.abort();
	server.close();
	server.closeAllConnections();
	client.close();
};

const startMember = async (world: GroupWorld, address: string, isFirstStart: boolean, voters = 5): Promise<Member> => {
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

/** Proposes at a member until a leader takes it. */
const propose = async (world: GroupWorld, member: Member, command: string): Promise<void> => {
	await waitUntil(`${command} is taken`, async () => {
		const result = await member.group.propose(command);
		return result.isOk();
	});
	world.proposed.push(command);
};

const hasAll = (world: GroupWorld, member: Member): boolean => world.proposed.every(command => member.applied.includes(command));

After(async function (this: GroupWorld) {
	await Promise.all((this.members ?? []).map(async member => stopMember(member)));
	(this.guides ?? []).forEach(guide => {
		stopGuide(guide);
	});

	await Promise.all((this.folders ?? []).map(async folder => rm(folder, {recursive: true, force: true})));
});

Given('a control instance that is a group of its own', {timeout: 20_000}, async function (this: GroupWorld) {
	this.folders = [];
	this.proposed = [];
	const [port] = await findFreePorts(1);
	this.seeds = [`127.0.0.1:${port}`];
	this.members = [await startMember(this, `127.0.0.1:${port}`, true, 1)];
	await waitUntil('it leads', async () => this.members[0]!.group.isLeading);
});

Then('reads succeed at every moment of {int} changes', async function (this: GroupWorld, count: number) {
	const {group} = this.members[0]!;
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		const proposing = group.propose(`change-${index}`);
		// Lets the change be appended, so that its write is under way.
		await Promise.resolve();
		await Promise.resolve();
		const read = await group.waitUntilFresh();
		const proposed = await proposing;
		assert.equal(proposed.isOk(), true);
		assert.equal(read.isOk(), true);
	}, Promise.resolve());
});

Given('{int} control instances that know the first {int}', async function (this: GroupWorld, count: number, known: number) {
	this.folders = [];
	this.proposed = [];
	const ports = await findFreePorts(count);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	this.seeds = addresses.slice(0, known);
	this.members = await Promise.all(addresses.slice(0, count).map(async address => startMember(this, address, true)));
});

Given('{int} control instances that know {int} instances without a log', async function (this: GroupWorld, count: number, known: number) {
	await startBeside(this, count, known, 0);
});

Given('{int} control instances that know the first of them and {int} instances without a log', async function (this: GroupWorld, count: number, known: number) {
	await startBeside(this, count, known, 1);
});

/** Starts members and instances without a log; the latter and some of the members are the seeds. */
const startBeside = async (world: GroupWorld, count: number, guides: number, seedMembers: number): Promise<void> => {
	world.folders = [];
	world.proposed = [];
	const ports = await findFreePorts(count + guides);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	world.seeds = [...addresses.slice(count), ...addresses.slice(0, seedMembers)];
	world.guides = await Promise.all(addresses.slice(count).map(async address => startGuide(world, address, true)));
	world.members = await Promise.all(addresses.slice(0, count).map(async address => startMember(world, address, true)));
};

Then('the instances without a log know where it is kept', async function (this: GroupWorld) {
	const addresses = this.members.map(({address}) => address).toSorted();
	await waitUntil('all are known', async () => this.guides.every(({directory}) => JSON.stringify(directory?.listControlAddresses().toSorted()) === JSON.stringify(addresses)));
});

Given('an instance without a log at its first start', async function (this: GroupWorld) {
	const [port] = await findFreePorts(1);
	this.seeds = [];
	this.guideAddress = `127.0.0.1:${port}`;
	this.guides = [await startGuide(this, this.guideAddress, true)];
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

When('two instances announce themselves to it', async function (this: GroupWorld) {
	await announceTo(this.guideAddress, ['x:1#1', 'a:1#2']);
});

Then('it names the first of them as founder', async function (this: GroupWorld) {
	assert.equal(await readFounder(this.guideAddress), 'x:1#1');
});

Then('after a restart it names nobody', async function (this: GroupWorld) {
	this.guides.forEach(guide => {
		stopGuide(guide);
	});
	this.guides = [await startGuide(this, this.guideAddress, false)];
	await announceTo(this.guideAddress, ['a:1#2']);
	assert.equal(await readFounder(this.guideAddress), undefined);
});

Then('all of them become voters of one log', {timeout: 30_000}, async function (this: GroupWorld) {
	await waitUntil('all are voters', async () => this.members.every(({group}) => group.hasAllVoters && group.isCurrent));
});

Then('a change that is proposed at any of them is applied at all of them', async function (this: GroupWorld) {
	await Promise.all(this.members.map(async (member, index) => propose(this, member, `change-${index}`)));
	await waitUntil('all have all changes', async () => this.members.every(member => hasAll(this, member)));
});

When('the last one comes back with an empty disk', async function (this: GroupWorld) {
	const last = this.members.at(-1)!;
	await stopMember(last);
	this.members = [...this.members.slice(0, -1), await startMember(this, last.address, false)];
});

Then('it is a voter again under a new identity, and has all changes', {timeout: 30_000}, async function (this: GroupWorld) {
	const last = this.members.at(-1)!;
	await waitUntil('the new identity votes', async () => this.members.every(({group}) => group.voters.includes(last.group.ownId) && group.hasAllVoters));
	await waitUntil('it has all changes', async () => hasAll(this, last));
});

When('the first one is stopped for good and another one starts at another address', async function (this: GroupWorld) {
	const [first, ...others] = this.members;
	await stopMember(first!);
	const [port] = await findFreePorts(1);
	this.members = [...others, await startMember(this, `127.0.0.1:${port}`, false)];
});

Then('the newcomer takes its place and has all changes', {timeout: 30_000}, async function (this: GroupWorld) {
	const newcomer = this.members.at(-1)!;
	await waitUntil('the newcomer votes', async () => this.members.every(({group}) => group.voters.includes(newcomer.group.ownId) && group.hasAllVoters));
	await propose(this, newcomer, 'last-change');
	await waitUntil('all have all changes', async () => this.members.every(member => hasAll(this, member)));
});

const identity = (replicaId: string, more: Partial<Identity> = {}): Identity => ({
	address: replicaId.split('#')[0] ?? '', replicaId, clusterId: undefined, initialVoters: [], mayBegin: true, peers: [], founder: undefined, ...more,
});

/** An instance without a log. */
const guide = (address: string, founder?: string): Identity => identity(address, {replicaId: undefined, mayBegin: false, founder});

const three = ['a:1', 'b:1', 'c:1'];

Then('a beginner that hears of a log joins it, whatever else it hears', () => {
	const formed = identity('d:1#4', {clusterId: 'old', initialVoters: ['x:1#1']});
	const formation = decideFormation(identity('a:1#1'), three, [identity('b:1#2'), identity('c:1#3'), formed]);
	assert.deepEqual(formation, {clusterId: 'old', initialVoters: ['x:1#1']});
});

Then('the seeds begin the same log once all of them know each other, and wait before', () => {
	const [a, b, c] = [identity('a:1#1'), identity('b:1#2'), identity('c:1#3')] as const;
	assert.equal(decideFormation(a, three, [b]), undefined);
	const begun = decideFormation(a, three, [b, c]);
	assert.deepEqual(begun?.initialVoters, ['a:1#1', 'b:1#2', 'c:1#3']);
	assert.deepEqual(decideFormation(b, three, [c, a]), begun);
});

Then('an instance that is no seed, or whose disk is younger than the system, begins nothing', () => {
	const others = [identity('b:1#2'), identity('c:1#3')];
	assert.equal(decideFormation(identity('d:1#4'), three, [identity('a:1#1'), ...others]), undefined);
	assert.equal(decideFormation(identity('a:1#1', {mayBegin: false}), three, others), undefined);
});

Then('the seeds that keep the log begin it without those that keep none', () => {
	const [b, c] = [identity('b:1#2'), identity('c:1#3')] as const;
	assert.equal(decideFormation(b, three, [c]), undefined);
	const begun = decideFormation(b, three, [guide('a:1', 'x:1#9'), c]);
	assert.deepEqual(begun?.initialVoters, ['b:1#2', 'c:1#3']);
	assert.deepEqual(decideFormation(c, three.toReversed(), [b, guide('a:1')]), begun);
});

Then('a seed with an empty disk that is younger than the system keeps the others from beginning', () => {
	assert.equal(decideFormation(identity('b:1#2'), three, [guide('a:1'), identity('c:1#3', {mayBegin: false})]), undefined);
});

Then('the named instance begins the log alone, and nobody else does', () => {
	const seeds = [guide('c:1', 'd:1#5'), guide('b:1'), guide('a:1', 'd:1#4')];
	assert.deepEqual(decideFormation(identity('d:1#4'), three.toReversed(), seeds)?.initialVoters, ['d:1#4']);
	assert.equal(decideFormation(identity('d:1#5'), three, seeds), undefined);
	assert.equal(decideFormation(identity('d:1#4', {mayBegin: false}), three, seeds), undefined);
	assert.equal(decideFormation(identity('d:1#4'), three, seeds.slice(0, 2)), undefined);
});

Given('a peer whose connections go silent after their first answer, while new ones work', async function (this: GroupWorld) {
	const answered = new Set<unknown>();
	const [port] = await findFreePorts(1);
	this.guideAddress = `127.0.0.1:${port}`;
	const server = createServer((req, res) => {
		if (answered.has(req.socket)) {
			return;
		}

		answered.add(req.socket);
		// Held for a moment, so that calls that come together need a connection each.
		setTimeout(() => {
			res.end('true');
		}, silenceMs);
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	this.guides = [{
		directory: undefined, server, client: new PeerClient(), ending: new AbortController(),
	}];
});

/** Time in which a silent peer shows, ms. */
const silenceMs = 100;

const callSilent = async ({guides, guideAddress}: GroupWorld): Promise<boolean> => {
	const answer = await guides[0]!.client.call({
		address: guideAddress, path: '/any', body: {}, idleTimeoutMs: silenceMs * 3,
	});
	return answer.isOk();
};

When('{int} calls were answered together', async function (this: GroupWorld, count: number) {
	const answers = await Promise.all(Array.from({length: count}, async () => callSilent(this)));
	assert.equal(answers.every(Boolean), true);
});

Then('the next call gets no answer in time', async function (this: GroupWorld) {
	assert.equal(await callSilent(this), false);
});

Then('the call after that is answered', async function (this: GroupWorld) {
	assert.equal(await callSilent(this), true);
});

type ReplicaWorld = World & {replica: Replica; timeoutMs: number; startedAt: number};

/** A pre-vote request that is granted unless a lease may rest on the replica's silence. */
const askForVote = ({replica}: ReplicaWorld, now: number): boolean => {
	replica.receive({
		kind: MessageKind.PreVoteRequest, from: 'b', to: 'a', term: replica.term + 1, lastIndex: 9, lastTerm: 9, transfer: false,
	}, now);
	return replica.takeEffects().messages.some(message => message.kind === MessageKind.PreVoteResponse && message.granted);
};

Given('a replica whose process started {int} ms before it, with an election timeout of {int} ms', function (this: ReplicaWorld, loadMs: number, timeoutMs: number) {
	this.startedAt = 1000;
	this.timeoutMs = timeoutMs;
	this.replica = new Replica({
		id: 'a', initialMembership: {voters: ['a', 'b', 'c'], learners: []}, restored: {hardState: {term: 1}, snapshot: undefined, entries: []}, times: {electionTimeoutMs: timeoutMs, heartbeatMs: 100, maxClockDrift: 0.1}, rules: defaultReplicaRules, random: () => 0, now: this.startedAt + loadMs, processStartedAt: this.startedAt,
	});
});

Then('it grants no vote and stands for no election before {int} ms after the start of its process', function (this: ReplicaWorld, quietMs: number) {
	const now = this.startedAt + quietMs - 1;
	this.replica.tick(now);
	assert.equal(this.replica.role, Role.Follower);
	assert.equal(askForVote(this, now), false);
});

Then('it grants a vote {int} ms after that', function (this: ReplicaWorld, afterMs: number) {
	assert.equal(askForVote(this, this.startedAt + this.timeoutMs + afterMs), true);
});

type LargeWorld = GroupWorld & {last: {value: unknown}};

/** A group of one, whose state is the last change that it has applied. */
const startLast = async (world: LargeWorld, folder: string): Promise<void> => {
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

Given('a control instance that is a group of its own and whose state is its last change', {timeout: 20_000}, async function (this: LargeWorld) {
	const [port] = await findFreePorts(1);
	this.seeds = [`127.0.0.1:${port}`];
	this.proposed = [];
	this.folders = [await mkdtemp(join(tmpdir(), 'mastvalve-group-'))];
	await startLast(this, this.folders[0]!);
});

When('{int} changes of {int} KB are proposed', {timeout: 30_000}, async function (this: LargeWorld, count: number, kilobytes: number) {
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		await propose(this, this.members[0]!, `${index}-${'x'.repeat(kilobytes * 1000)}`);
	}, Promise.resolve());
});

Then('its log takes at most {int} MB on disk', async function (this: LargeWorld, megabytes: number) {
	const [folder] = this.folders;
	const names = await readdir(folder!);
	const sizes = await Promise.all(names.map(async name => stat(join(folder!, name)).then(({size}) => size)));
	const total = sizes.reduce((sum, size) => sum + size, 0);
	assert.ok(total <= megabytes * 1_000_000, `${total} bytes`);
});

Then('it holds at most {int} of the changes in memory', function (this: LargeWorld, most: number) {
	const held = this.members[0]!.group.logLength;
	assert.ok(held <= most, `${held} entries`);
});

Then('after a restart it has the last change', {timeout: 20_000}, async function (this: LargeWorld) {
	await stopMember(this.members[0]!);
	await startLast(this, this.folders[0]!);
	assert.equal(this.last.value, this.proposed.at(-1));
});

type SlowPeerWorld = GroupWorld & {pieces: number; pauseMs: number; piecesToSend: number};

Given('a peer that sends its answer in {int} pieces, one each {int} ms', async function (this: SlowPeerWorld, pieces: number, pauseMs: number) {
	this.pieces = pieces;
	this.piecesToSend = pieces;
	this.pauseMs = pauseMs;
	const [port] = await findFreePorts(1);
	this.guideAddress = `127.0.0.1:${port}`;
	const server = createServer((_req, res) => {
		const {piecesToSend} = this;
		let sent = 0;
		const timer = setInterval(() => {
			sent += 1;
			if (sent <= piecesToSend) {
				res.write(sent === 1 ? '1' : '0');
			}

			if (sent === pieces && piecesToSend === pieces) {
				res.end();
			}
		}, pauseMs);
		res.writeHead(200, {'content-length': pieces});
		res.once('close', () => {
			clearInterval(timer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	this.guides = [{
		directory: undefined, server, client: new PeerClient(), ending: new AbortController(),
	}];
});

const callSlowPeer = async ({guides, guideAddress}: GroupWorld, silenceMs: number) => guides[0]!.client.call<number>({
	address: guideAddress, path: '/any', body: {}, idleTimeoutMs: silenceMs,
});

Then('a call that allows {int} ms of silence gets the whole answer', async function (this: SlowPeerWorld, silenceMs: number) {
	const answer = await callSlowPeer(this, silenceMs);
	assert.equal(answer._unsafeUnwrap(), 10 ** (this.pieces - 1));
});

Then('a call to a peer that stops in the middle of its answer ends after {int} ms of silence', async function (this: SlowPeerWorld, silenceMs: number) {
	this.piecesToSend = 3;
	const startedAt = performance.now();
	const answer = await callSlowPeer(this, silenceMs);
	const took = performance.now() - startedAt;
	assert.match(answer._unsafeUnwrapErr().message, /nothing moved for 200 ms after 3 bytes/v);
	assert.ok(took >= silenceMs, `${took} ms`);
});

/** Leaders say so themselves: a member that only heard of one may be behind. */
const findLeader = (world: GroupWorld): Member | undefined => world.members.find(({group}) => group.isLeading);

/** Puts a fault between a member and its disk. */
const breakDisk = (member: Member, faultyPersist: (write: DurableWrite, persist: (write: DurableWrite) => Promise<void>) => Promise<void>): FaultyDisk => {
	const {journal} = assumeType<{journal: Journal}>(member.group);
	const persist = journal.persist.bind(journal);
	journal.persist = async write => faultyPersist(write, persist);
	return {
		member,
		repair() {
			journal.persist = persist;
		},
	};
};

const breakLeader = async (world: GroupWorld, faultyPersist: Parameters<typeof breakDisk>[1]): Promise<void> => {
	await waitUntil('somebody leads', async () => findLeader(world) !== undefined);
	const leader = findLeader(world);
	assert.ok(leader);
	world.faulty = breakDisk(leader, faultyPersist);
};

When('the disk of the leader refuses every write', async function (this: GroupWorld) {
	await breakLeader(this, async () => {
		throw new Error('ENOSPC: no space left on device');
	});
});

When('the disk of the leader answers no write', async function (this: GroupWorld) {
	const held: Array<() => void> = [];
	await breakLeader(this, async (write, persist) => {
		await new Promise<void>(resolve => {
			held.push(resolve);
		});
		await persist(write);
	});
	const {repair} = this.faulty;
	this.faulty.repair = () => {
		repair();
		held.forEach(resolve => {
			resolve();
		});
	};
});

When('the disk of the leader takes {int} ms for each write', async function (this: GroupWorld, ms: number) {
	await breakLeader(this, async (write, persist) => {
		await waitFor(ms);
		await persist(write);
	});
});

Then('another one leads within {int} seconds, and takes changes', {timeout: 15_000}, async function (this: GroupWorld, seconds: number) {
	const {member} = this.faulty;
	// A change of its own makes it write; it may not acknowledge that.
	const own = member.group.propose('of the faulty leader');
	const begunAt = performance.now();
	await waitUntil('another one leads', async () => this.members.some(other => other !== member && other.group.isLeading));
	assert.ok(performance.now() - begunAt < seconds * 1000, `${Math.round(performance.now() - begunAt)} ms`);
	const other = this.members.find(({group}) => group.isLeading && group !== member.group);
	assert.ok(other);
	await propose(this, other, 'while the disk is at fault');
	const outcome = await own;
	assert.equal(outcome.isOk(), false);
});

Then('the former leader has acknowledged no change since', async function (this: GroupWorld) {
	const {member} = this.faulty;
	assert.equal(member.applied.includes('while the disk is at fault'), false);
	assert.equal(member.group.isLeading, false);
});

When('its disk is well again', function (this: GroupWorld) {
	this.faulty.repair();
});

Then('it has all changes', {timeout: 15_000}, async function (this: GroupWorld) {
	await waitUntil('the former leader has all changes', async () => hasAll(this, this.faulty.member));
});

Then('it leads on for {int} seconds, and takes changes', {timeout: 15_000}, async function (this: GroupWorld, seconds: number) {
	const {member} = this.faulty;
	const {term} = member.group;
	const endAt = performance.now() + (seconds * 1000);
	let count = 0;
	while (performance.now() < endAt) {
		count += 1;
		// One change after the other, each through the slow disk.
		// eslint-disable-next-line no-await-in-loop
		await propose(this, member, `slow ${count}`);
	}

	assert.ok(member.group.isLeading);
	assert.equal(member.group.term, term);
});
