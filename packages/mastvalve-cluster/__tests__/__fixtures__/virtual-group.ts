/**
 * Members of a replicated log in one process and in virtual time. A suspended one does nothing, and its steady clock stands
 * still; messages to it wait as they would in its sockets.
 */

import {setImmediate} from 'node:timers/promises';
import {
	defaultReplicaRules, formatReplicaId, LogNode, Replica, type Message,
} from 'mastvalve-replication';
import {createRandom, toMastvalveError, type Clock} from 'mastvalve-utils';
import {groupTimes} from '../../src/index.js';

/** Time between two turns, and from one member to another, ms. */
const turnMs = 5;
/** The time of day at the beginning, ms since the epoch. */
const beganAt = 1_800_000_000_000;
/** Time in which a group without trouble commits, ms. */
const commitMs = 200;

type Member = {suspendedMs: number; isSuspended: boolean; steppedMs: number; waiting: Message[]};

/** The group. */
export class VirtualGroup {
	readonly nodes: LogNode[];
	/** Commands that each member has applied. */
	readonly applied: string[][];
	private readonly members: Member[];
	private readonly ids: string[];
	private trueMs = 0;
	private onTheWay: Message[] = [];

	constructor(count: number) {
		this.ids = Array.from({length: count}, (_, index) => formatReplicaId(`member-${index}`, 'disk'));
		this.members = this.ids.map(() => ({
			suspendedMs: 0, isSuspended: false, steppedMs: 0, waiting: [],
		}));
		this.applied = this.ids.map(() => []);
		this.nodes = this.ids.map((id, index) => this.createNode(id, index));
	}

	/** The one that leads with a valid lease, and is awake. */
	get leader(): number | undefined {
		const index = this.nodes.findIndex((node, each) => !this.members[each]!.isSuspended && node.hasLinearizableState());
		return index === -1 ? undefined : index;
	}

	get newestIndex(): number {
		return Math.max(...this.nodes.map(({appliedIndex}) => appliedIndex));
	}

	/** Lets time go on; `onTurn` is called after each turn. */
	async run(ms: number, onTurn: () => void = () => undefined): Promise<void> {
		await Array.from({length: Math.ceil(ms / turnMs)}).reduce<Promise<void>>(async before => {
			await before;
			await this.turn();
			onTurn();
		}, Promise.resolve());
	}

	suspend(index: number): void {
		this.members[index]!.isSuspended = true;
	}

	/** It wakes; what came for it meanwhile is read in the next turn. */
	wake(index: number): void {
		this.members[index]!.isSuspended = false;
	}

	stepTimeOfDay(index: number, ms: number): void {
		this.members[index]!.steppedMs += ms;
	}

	/** Commits a command at the leader; whether that was done. */
	async commit(command: string): Promise<boolean> {
		let isCommitted = false;
		void this.nodes[this.leader ?? 0]!.propose(command).then(result => {
			isCommitted = result.isOk();
		});
		await this.run(commitMs);
		return isCommitted;
	}

	private createNode(id: string, index: number): LogNode {
		const clock: Clock = {
			now: () => this.trueMs - this.members[index]!.suspendedMs,
			wall: () => beganAt + this.trueMs + this.members[index]!.steppedMs,
		};
		const replica = new Replica({
			id,
			initialMembership: {voters: this.ids, learners: []},
			restored: {
				hardState: {term: 0, votedFor: undefined}, entries: [], snapshot: undefined,
			},
			times: groupTimes,
			rules: defaultReplicaRules,
			random: createRandom(index + 1),
			now: clock.now(),
		});
		return new LogNode({
			replica,
			machine: {
				apply: command => this.applied[index]!.push(String(command)),
				takeSnapshot: () => this.applied[index],
				restoreSnapshot: () => undefined,
			},
			clock,
			snapshotIntervalEntries: 1000,
			persist: async () => undefined,
			send: message => {
				this.onTheWay.push(message);
			},
			onFailure(thrown) {
				throw toMastvalveError(thrown);
			},
		});
	}

	private async turn(): Promise<void> {
		this.trueMs += turnMs;
		const arriving = this.onTheWay;
		this.onTheWay = [];
		arriving.forEach(message => {
			this.members[this.ids.indexOf(message.to)]!.waiting.push(message);
		});
		this.members.forEach((member, index) => {
			this.runMember(member, index);
		});
		// All rounds of all members end before the next turn.
		await setImmediate();
		await setImmediate();
	}

	private runMember(member: Member, index: number): void {
		if (member.isSuspended) {
			member.suspendedMs += turnMs;
			return;
		}

		member.waiting.splice(0).forEach(message => {
			this.nodes[index]!.receive(message);
		});
		this.nodes[index]!.tick();
	}
}
