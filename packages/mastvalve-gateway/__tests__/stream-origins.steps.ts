/**
 * Steps for the release at which a stream began, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {formatStreamKey, ReleaseProof, type ProvedRelease} from 'mastvalve-fleet';
import {createRandom} from 'mastvalve-utils';
import {VirtualOrigins, type VirtualStream} from './__fixtures__/virtual-origins.js';

type OriginWorld = World & {virtual: VirtualOrigins; returning: Array<{stream: VirtualStream; proved: ProvedRelease}>};

const entryCount = 4;
const nameCount = 4;
const actionsPerHistory = 60;
/** Time for which an entry that is cut off trusts its view, ms: the limit of a proof without a leader. */
const viewTrustMs = 1000;

/** Whether nobody could know who answered: the first heartbeat of the process has not come, or its entry was cut off, and no connection failed in between. */
const isHidden = ({process, isBehindCut}: VirtualStream): boolean => !process.isRegistered || isBehindCut;

/** Whether a proof without a leader could not know the release: it appeared behind the cut, within the time that the view is trusted. */
const isBeyondView = (virtual: VirtualOrigins, entry: number, {release}: VirtualStream, {proof}: ProvedRelease): boolean => {
	const {isCut, cutAt} = virtual.entries[entry]!;
	return proof === ReleaseProof.SoleRelease && isCut && virtual.now - cutAt <= viewTrustMs && (virtual.releaseSince.get(release) ?? Number.POSITIVE_INFINITY) >= cutAt;
};

/** Plays a random history; returns the proofs that are wrong. */
const playHistory = async (seed: number, hasIncarnations: boolean): Promise<string[]> => {
	const random = createRandom(seed);
	const pick = (count: number): number => Math.floor(random() * count);
	const virtual = new VirtualOrigins(entryCount, hasIncarnations);
	const releases = ['v1', 'v2'];
	virtual.startEndpoint('e0', 'v1');
	virtual.startEndpoint('e1', 'v1');
	await virtual.advance(3000);
	const wrong: string[] = [];
	const actions: Array<() => Promise<void> | void> = [
		() => {
			virtual.startEndpoint(`e${pick(nameCount)}`, releases[pick(2)]!, random() < 0.5);
		},
		() => {
			virtual.register(`e${pick(nameCount)}`);
		},
		() => {
			virtual.setCut(pick(entryCount), random() < 0.4);
		},
		() => {
			virtual.changeLeader(random() < 0.7);
		},
		async () => virtual.advance(pick(4) * 400),
		async () => {
			const entry = pick(entryCount);
			const stream = virtual.streams[pick(virtual.streams.length)];
			if (!stream) {
				return;
			}

			const proved = await virtual.prove(entry, stream.key);
			if (proved.proof !== ReleaseProof.None && proved.release !== stream.release && !isHidden(stream) && !isBeyondView(virtual, entry, stream, proved)) {
				wrong.push(`seed ${seed}: ${JSON.stringify({
					stream, proved, entry, now: virtual.now,
				})}`);
			}
		},
	];
	await Array.from({length: actionsPerHistory}).reduce<Promise<void>>(async before => {
		await before;
		const kind = pick(actions.length + 3);
		const action = actions[kind];
		if (action) {
			await action();
		} else {
			virtual.beginStream(pick(entryCount), pick, random() < 0.5);
		}
	}, Promise.resolve());
	return wrong;
};

const playHistories = async (count: number, hasIncarnations: boolean): Promise<string[]> =>
	Array.from({length: count}).reduce<Promise<string[]>>(async (before, _, index) => {
		const wrong = await before;
		return [...wrong, ...await playHistory(index + 1, hasIncarnations)];
	}, Promise.resolve([]));

Then('in {int} random histories of releases, restarts, cuts, dead entries and new leaders, no proved release is wrong', {timeout: 60_000}, async (count: number) => {
	const wrong = await playHistories(count, true);
	assert.deepEqual(wrong.slice(0, 3), []);
});

Then('in the random history with seed {int}, no proved release is wrong', async (seed: number) => {
	assert.deepEqual(await playHistory(seed, true), []);
});

Then('in {int} random histories, a build that takes the release from the name is wrong at least once', {timeout: 60_000}, async (count: number) => {
	const wrong = await playHistories(count, false);
	assert.ok(wrong.length > 0);
});

Given('{int} entries in touch, and endpoints of {word} release(s)', async function (this: OriginWorld, count: number, releases: string) {
	this.virtual = new VirtualOrigins(count);
	this.virtual.startEndpoint('e0', 'v1');
	this.virtual.startEndpoint('e1', 'v1');
	this.virtual.startEndpoint('e2', releases === 'two' ? 'v2' : 'v1');
	await this.virtual.advance(3000);
	this.returning = [];
});

Given('all endpoints have started again with the other release, and registered', async function (this: OriginWorld) {
	this.virtual.startEndpoint('e0', 'v2');
	this.virtual.startEndpoint('e1', 'v2');
	this.virtual.startEndpoint('e2', 'v1');
	await this.virtual.advance(3000);
});

const beginAll = ({virtual}: OriginWorld, count: number): VirtualStream[] =>
	virtual.entries.flatMap((_, entry) => Array.from({length: count}, (__, index) => virtual.beginStream(entry, endpoints => index % endpoints)!));

/** Lets callers return to the entry that `findEntry` gives. */
const returnAll = async (world: OriginWorld, streams: readonly VirtualStream[], findEntry: (index: number) => number): Promise<void> => {
	world.returning = await Promise.all(streams.map(async (stream, index) => ({stream, proved: await world.virtual.prove(findEntry(index), stream.key)})));
};

When('each entry begins {int} streams, and after {int} ms other entries get their callers back', async function (this: OriginWorld, count: number, ms: number) {
	const streams = beginAll(this, count);
	await this.virtual.advance(ms);
	await returnAll(this, streams, index => (Math.floor(index / count) + 1) % this.virtual.entries.length);
});

When('each entry begins {int} streams, a new leader is elected, and after {int} ms other entries get their callers back', async function (this: OriginWorld, count: number, ms: number) {
	const streams = beginAll(this, count);
	await this.virtual.advance(ms);
	this.virtual.changeLeader(true);
	await this.virtual.advance(ms);
	await returnAll(this, streams, index => (Math.floor(index / count) + 1) % this.virtual.entries.length);
});

When('each entry begins {int} streams, {int} entries die after {int} ms, and the last one gets all callers back', async function (this: OriginWorld, count: number, dead: number, ms: number) {
	const streams = beginAll(this, count);
	await this.virtual.advance(ms);
	Array.from({length: dead}).forEach((_, entry) => {
		this.virtual.kill(entry);
	});
	await returnAll(this, streams, () => this.virtual.entries.length - 1);
});

Then('all of {int} returning streams are proved', function (this: OriginWorld, count: number) {
	assert.equal(this.returning.length, count);
	this.returning.forEach(({stream, proved}) => {
		assert.equal('release' in proved ? proved.release : proved.reason, stream.release);
	});
});

Then('the leader holds {int} origins', function (this: OriginWorld, count: number) {
	assert.equal(this.virtual.originCount, count);
});

Then('a stream that nobody has begun is not proved', async function (this: OriginWorld) {
	const {proof} = await this.virtual.prove(0, formatStreamKey('forged', undefined));
	assert.equal(proof, ReleaseProof.None);
});

Then('a stream that another workspace has begun is not proved', async function (this: OriginWorld) {
	this.virtual.beginStream(0, () => 0);
	await this.virtual.advance(100);
	const {proof} = await this.virtual.prove(1, formatStreamKey('stream-0', 'another'));
	assert.equal(proof, ReleaseProof.None);
});
