/**
 * Replicas of the log in one process: a pool of messages that are lost, late, repeated and reordered, clocks of
 * different speed, crashes, freezes, cuts in one direction or both, lost disks. The replicas are the real ones.
 */

import {
	defaultReplicaRules, EntryKind, formatReplicaId, planNextMembership, Replica, replayWrites, Role,
	type DurableWrite, type Membership, type Message, type ReplicaRules,
} from 'mastvalve-replication';
import {createRandom} from 'mastvalve-utils';

/** Kinds of steps. */
export enum StepKind {
	Deliver = 'deliver',
	DeliverAll = 'deliver-all',
	Drop = 'drop',
	Repeat = 'repeat',
	Advance = 'advance',
	Propose = 'propose',
	Read = 'read',
	Crash = 'crash',
	Restart = 'restart',
	Cut = 'cut',
	CutOneWay = 'cut-one-way',
	Heal = 'heal',
	Freeze = 'freeze',
	Thaw = 'thaw',
	/** Like a freeze, but of the leader, if there is one, and its clock stands still as well; a thaw ends it. */
	Suspend = 'suspend',
	HandOver = 'hand-over',
	Compact = 'compact',
	LoseDisk = 'lose-disk',
	Duty = 'duty',
}

/** One step; what `pick` means depends on the kind. */
export type Step = {kind: StepKind; pick: number};

/** What a model is made with. */
export type ClusterOptions = {
	size: number;
	seed: number;
	rules?: ReplicaRules;
	/** Whether a crash loses the last write, as without sync. */
	losesLastWrite?: boolean;
	/** Whether a lost disk returns under its former identity. */
	keepsIdentity?: boolean;
	/** Whether a node that was suspended believes what it heard before. */
	trustsSteadyClock?: boolean;
};

const times = {electionTimeoutMs: 100, heartbeatMs: 20, maxClockDrift: 0.1};
const drifts = [1, 1.04, 0.96, 1.02, 0.98, 1.01, 0.99];
const maxAdvanceMs = 120;

type Node = {
	name: string;
	disk: number;
	writes: DurableWrite[];
	replica: Replica | undefined;
	isFrozen: boolean;
	/** Clock speed against true time. */
	drift: number;
	/** Messages that wait for a frozen node. */
	inbox: Message[];
	appliedIndex: number;
	/** When it was suspended, in true time; undefined while it isn't. */
	suspendedAt: number | undefined;
	/** True time that its clock has not counted. */
	missedMs: number;
};

/** The replicas with their disks and their network. Every violation throws. */
export class ClusterModel {
	/** Entries by index as they were first applied anywhere. */
	readonly chosen = new Map<number, string>();
	readonly nodes: Node[];
	private readonly pool: Message[] = [];
	private cuts = new Set<string>();
	private time = 1000;
	private proposals = 0;
	/** The highest index whose proposer was told that it is committed. */
	private acknowledged = 0;
	private readonly initial: Membership;
	private readonly random: () => number;

	private readonly actions: Record<StepKind, (node: Node, pick: number) => void> = {
		[StepKind.Deliver]: (_node, pick) => {
			this.deliver(this.pool.splice(pick % Math.max(1, this.pool.length), 1));
		},
		[StepKind.DeliverAll]: () => {
			this.deliver(this.pool.splice(0));
		},
		[StepKind.Drop]: (_node, pick) => {
			this.pool.splice(pick % Math.max(1, this.pool.length), 1);
		},
		[StepKind.Repeat]: (_node, pick) => {
			const at = pick % Math.max(1, this.pool.length);
			this.pool.push(...this.pool.slice(at, at + 1));
		},
		[StepKind.Advance]: (_node, pick) => {
			this.advance(1 + (pick % maxAdvanceMs));
		},
		[StepKind.Propose]: (node, pick) => {
			this.propose(node, pick);
		},
		[StepKind.Read]: node => {
			this.read(node);
		},
		[StepKind.Crash]: node => {
			this.crash(node);
		},
		[StepKind.Restart]: node => {
			this.restart(node);
		},
		[StepKind.Cut]: node => {
			this.cut(node, false);
		},
		[StepKind.CutOneWay]: node => {
			this.cut(node, true);
		},
		[StepKind.Heal]: () => {
			this.cuts = new Set();
		},
		[StepKind.Freeze](node) {
			node.isFrozen = true;
		},
		[StepKind.Thaw]: node => {
			this.thaw(node);
		},
		[StepKind.Suspend]: fallback => {
			const node = this.nodes.find(candidate => candidate.replica?.role === Role.Leader && !candidate.isFrozen) ?? fallback;
			node.isFrozen = true;
			node.suspendedAt ??= this.time;
		},
		[StepKind.HandOver]: node => {
			this.run(node, replica => {
				replica.transferLeadership(this.clockOf(node));
			});
		},
		[StepKind.Compact]: node => {
			this.run(node, replica => {
				replica.compact(node.appliedIndex, node.appliedIndex);
			});
		},
		[StepKind.LoseDisk]: node => {
			this.loseDisk(node);
		},
		[StepKind.Duty]: node => {
			this.changeMembership(node);
		},
	};

	constructor(private readonly options: ClusterOptions) {
		this.random = createRandom(options.seed);
		this.nodes = Array.from({length: options.size}, (_, index): Node => ({
			name: `n${index}`, disk: 0, writes: [], replica: undefined, isFrozen: false, drift: drifts[index] ?? 1, inbox: [], appliedIndex: 0, suspendedAt: undefined, missedMs: 0,
		}));
		this.initial = {voters: this.nodes.map(node => this.idOf(node)), learners: []};
		this.nodes.forEach(node => {
			this.start(node);
		});
	}

	/** Carries out one step. */
	step({kind, pick}: Step): void {
		const node = this.nodes[pick % this.nodes.length];
		if (node) {
			this.actions[kind](node, pick);
		}
	}

	/** Everything works again for a while: the cluster must make progress. */
	settle(): void {
		this.cuts = new Set();
		this.nodes.forEach(node => {
			this.thaw(node);
			if (!node.replica) {
				this.start(node);
			}
		});
		Array.from({length: 120}).forEach((_, index) => {
			this.step({kind: StepKind.Advance, pick: 14});
			this.step({kind: StepKind.DeliverAll, pick: 0});
			this.step({kind: StepKind.Duty, pick: index});
		});
		this.step({kind: StepKind.Propose, pick: 0});
		Array.from({length: 20}).forEach(() => {
			this.step({kind: StepKind.Advance, pick: 14});
			this.step({kind: StepKind.DeliverAll, pick: 0});
		});
	}

	/** Indexes that every node has applied at the least. */
	get commonIndex(): number {
		return Math.min(...this.nodes.map(node => node.appliedIndex));
	}

	get acknowledgedIndex(): number {
		return this.acknowledged;
	}

	private idOf(node: Node): string {
		return formatReplicaId(node.name, String(node.disk));
	}

	private clockOf(node: Node): number {
		return ((node.suspendedAt ?? this.time) - node.missedMs) * node.drift;
	}

	private start(node: Node): void {
		const restored = replayWrites(structuredClone(node.writes));
		node.appliedIndex = restored.snapshot?.index ?? 0;
		node.replica = new Replica({
			id: this.idOf(node),
			initialMembership: this.initial,
			restored,
			times,
			rules: this.options.rules ?? defaultReplicaRules,
			random: this.random,
			now: this.clockOf(node),
			trailingEntries: 3,
		});
	}

	private advance(ms: number): void {
		this.time += ms;
		this.nodes.forEach(node => {
			this.run(node, replica => {
				replica.tick(this.clockOf(node));
			});
		});
	}

	/** A client proposes to one that believes it leads, or to any when none does. */
	private propose(fallback: Node, pick: number): void {
		const leaders = this.nodes.filter(candidate => candidate.replica?.role === Role.Leader && !candidate.isFrozen);
		const node = leaders[pick % Math.max(1, leaders.length)] ?? fallback;
		this.proposals += 1;
		this.run(node, replica => {
			replica.propose(this.proposals);
			replica.flush(this.clockOf(node));
		});
	}

	private restart(node: Node): void {
		if (!node.replica) {
			this.start(node);
		}
	}

	private cut(node: Node, isOneWay: boolean): void {
		this.nodes.filter(other => other !== node).forEach(other => {
			this.cuts.add(`${node.name}>${other.name}`);
			if (!isOneWay) {
				this.cuts.add(`${other.name}>${node.name}`);
			}
		});
	}

	private crash(node: Node): void {
		this.wake(node);
		node.replica = undefined;
		node.isFrozen = false;
		node.inbox = [];
		if (this.options.losesLastWrite) {
			node.writes.pop();
		}
	}

	/** Ends a suspension. The node notices it before anything else, unless it is a broken one. */
	private wake(node: Node): void {
		if (node.suspendedAt === undefined) {
			return;
		}

		node.missedMs += this.time - node.suspendedAt;
		node.suspendedAt = undefined;
		if (!this.options.trustsSteadyClock) {
			node.replica?.invalidateContacts(this.clockOf(node));
		}
	}

	private thaw(node: Node): void {
		this.wake(node);
		node.isFrozen = false;
		// A caller's question may be read before the messages that waited.
		this.read(node);
		const waiting = node.inbox;
		node.inbox = [];
		waiting.forEach(message => {
			this.run(node, replica => {
				replica.receive(message, this.clockOf(node));
			});
		});
	}

	private deliver(messages: Message[]): void {
		messages.forEach(message => {
			const [from = ''] = message.from.split('#');
			const [to = ''] = message.to.split('#');
			const node = this.nodes.find(candidate => this.idOf(candidate) === message.to);
			if (!node || this.cuts.has(`${from}>${to}`)) {
				return;
			}

			if (node.isFrozen) {
				node.inbox.push(message);
			} else {
				this.run(node, replica => {
					replica.receive(structuredClone(message), this.clockOf(node));
				});
			}
		});
	}

	/** Gives a replica an input, then does what it wants done, in the order that it must be done in. */
	private run(node: Node, input: (replica: Replica) => void): void {
		const {replica} = node;
		if (!replica || node.isFrozen) {
			return;
		}

		input(replica);
		const effects = replica.takeEffects();
		if (effects.write) {
			node.writes.push(structuredClone(effects.write));
		}

		this.pool.push(...effects.messages);
		if (effects.snapshotToRestore) {
			node.appliedIndex = effects.snapshotToRestore.index;
		}

		effects.committed.forEach(entry => {
			const text = JSON.stringify(entry);
			const first = this.chosen.get(entry.index) ?? text;
			this.chosen.set(entry.index, first);
			if (first !== text) {
				throw new Error(`index ${entry.index} holds ${first} and ${text}`);
			}

			if (entry.index !== node.appliedIndex + 1) {
				throw new Error(`${node.name} applied ${entry.index} after ${node.appliedIndex}`);
			}

			node.appliedIndex = entry.index;
			if (replica.role === Role.Leader && entry.kind === EntryKind.Command) {
				this.acknowledged = Math.max(this.acknowledged, entry.index);
			}
		});
	}

	/** A read that is given as fresh must show all that anybody was told is committed. */
	private read(node: Node): void {
		const isFresh = node.suspendedAt === undefined && node.replica?.hasReadLease(this.clockOf(node)) === true;
		if (isFresh && node.appliedIndex < this.acknowledged) {
			throw new Error(`${node.name} read index ${node.appliedIndex} as fresh after ${this.acknowledged} was acknowledged`);
		}
	}

	/** Only one disk at a time: another may be lost as soon as the first is repaired. */
	private loseDisk(node: Node): void {
		const identities = new Set(this.nodes.map(each => this.idOf(each)));
		const memberships = this.nodes.flatMap(each => (each.replica ? [each.replica.currentMembership] : []));
		const areRepaired = memberships.length === this.nodes.length
			&& memberships.every(membership => membership.voters.length === this.nodes.length && membership.voters.every(voter => identities.has(voter)));
		if (areRepaired) {
			this.crash(node);
			node.disk += this.options.keepsIdentity ? 0 : 1;
			node.writes = [];
			this.start(node);
		}
	}

	private changeMembership(node: Node): void {
		const {replica} = node;
		if (node.suspendedAt !== undefined || !replica?.hasReadLease(this.clockOf(node))) {
			return;
		}

		const next = planNextMembership(replica.currentMembership, this.nodes.map(each => this.idOf(each)), id => replica.isCaughtUp(id, this.clockOf(node)));
		if (next) {
			this.run(node, leader => {
				leader.proposeMembership(next);
				leader.flush(this.clockOf(node));
			});
		}
	}
}
