/**
 * Model of control instances at the first start of the system: real decisions on forming the log, with kills and lost
 * disks between any two of their steps.
 */

import {
	nameFounder, type decideFormation, type Formation, type Identity,
} from 'mastvalve-cluster';

export type DecideFormation = typeof decideFormation;

/** What happens to an instance. */
export enum FormationStepKind {
	Start = 'start',
	/** It writes its identity. */
	Initialize = 'initialize',
	/** It gets the answer of another one. */
	Ask = 'ask',
	/** It asks another one to join, which matters at seeds without a disk. */
	Announce = 'announce',
	Decide = 'decide',
	/** It writes what it has decided. */
	Record = 'record',
	Kill = 'kill',
	LoseDisk = 'lose-disk',
}

/** `at` and `peer` are the indices of instances. */
export type FormationStep = {kind: FormationStepKind; at: number; peer: number};

/** What a running process knows. */
type Memory = {mayBegin: boolean; answers: Identity[]; decision: Formation | undefined; candidate?: string; founder?: string};

type Instance = {address: string; hasDisk: boolean; isFirstStart: boolean; disk: Identity | undefined; memory: Memory | undefined};

/** `seedsHaveDisks` tells whether seeds keep the log. */
export type FormationModelOptions = {instances: number; seeds: number; seedsHaveDisks: boolean};

/** Rounds of steps after which instances without further faults must have formed a log. */
const settlingRounds = 8;

export class FormationModel {
	/** Identities of all logs that were ever recorded. */
	readonly logs = new Set<string>();
	private readonly instances: Instance[];
	private readonly seeds: string[];
	private disks = 0;
	private lostDisks = 0;

	constructor(private readonly decide: DecideFormation, {instances, seeds, seedsHaveDisks}: FormationModelOptions) {
		this.instances = Array.from({length: instances}, (_, index) => ({
			address: `n${index}:1`, hasDisk: seedsHaveDisks || index >= seeds, isFirstStart: true, disk: undefined, memory: undefined,
		}));
		this.seeds = this.instances.slice(0, seeds).map(({address}) => address);
	}

	/** Whether all instances with a disk belong to a log. */
	get isFormed(): boolean {
		return this.instances.every(({hasDisk, disk}) => !hasDisk || disk?.clusterId !== undefined);
	}

	/** Whether a log must be formed: no disk was lost, and a seed with a disk has written that it may begin. */
	get mustForm(): boolean {
		return this.lostDisks === 0 && this.instances.some(({address, disk}) => this.seeds.includes(address) && disk?.mayBegin);
	}

	step({kind, at, peer}: FormationStep): void {
		const instance = this.instances[at % this.instances.length]!;
		switch (kind) {
			case FormationStepKind.Start: {
				instance.memory ??= {mayBegin: instance.isFirstStart, answers: [], decision: undefined};
				instance.isFirstStart = false;
				break;
			}

			case FormationStepKind.Initialize: {
				this.initialize(instance);
				break;
			}

			case FormationStepKind.Ask: {
				this.ask(instance, this.instances[peer % this.instances.length]!);
				break;
			}

			case FormationStepKind.Announce: {
				this.announce(instance, this.instances[peer % this.instances.length]!);
				break;
			}

			case FormationStepKind.Decide: {
				this.decideAt(instance);
				break;
			}

			case FormationStepKind.Record: {
				this.record(instance);
				break;
			}

			case FormationStepKind.Kill: {
				instance.memory = undefined;
				break;
			}

			case FormationStepKind.LoseDisk: {
				this.lostDisks += instance.disk ? 1 : 0;
				Object.assign(instance, {disk: undefined, memory: undefined, isFirstStart: false});
				break;
			}
		}
	}

	/** All start again, and nothing fails any more. */
	settle(): void {
		const all = this.instances.map((_, index) => index);
		const round = [FormationStepKind.Start, FormationStepKind.Initialize, FormationStepKind.Announce, FormationStepKind.Ask, FormationStepKind.Decide, FormationStepKind.Record];
		const steps = Array.from({length: settlingRounds}, () => round).flat();
		steps.flatMap(kind => all.flatMap(at => ([FormationStepKind.Ask, FormationStepKind.Announce].includes(kind) ? all : [at]).map(peer => ({kind, at, peer})))).forEach(step => {
			this.step(step);
		});
	}

	private initialize(instance: Instance): void {
		if (!instance.memory || instance.disk !== undefined || !instance.hasDisk) {
			return;
		}

		this.disks += 1;
		instance.disk = {
			address: instance.address,
			replicaId: `${instance.address}#${this.disks}`,
			clusterId: undefined,
			initialVoters: [],
			mayBegin: instance.memory.mayBegin,
			peers: [],
			founder: undefined,
		};
	}

	/** What an instance answers, if it runs and has written its identity. */
	private identify({address, hasDisk, disk, memory}: Instance): Identity | undefined {
		if (!memory || hasDisk) {
			return memory && disk;
		}

		const {mayBegin, founder} = memory;
		return {
			address, replicaId: undefined, clusterId: undefined, initialVoters: [], mayBegin, peers: [], founder,
		};
	}

	private ask({memory}: Instance, peer: Instance): void {
		const answer = this.identify(peer);
		if (memory && answer) {
			memory.answers = [...memory.answers.filter(({address}) => address !== peer.address), answer];
		}
	}

	private announce({memory, disk}: Instance, {hasDisk, memory: seed}: Instance): void {
		if (memory && disk?.mayBegin && seed && !hasDisk) {
			seed.candidate ??= disk.replicaId;
		}
	}

	private nameFounder(instance: Instance): void {
		const {memory} = instance;
		const own = this.identify(instance);
		if (memory && own) {
			memory.founder ??= nameFounder(own, this.seeds, memory.answers, memory.candidate);
			memory.answers = [];
		}
	}

	private decideAt(instance: Instance): void {
		const {memory, disk} = instance;
		if (!instance.hasDisk) {
			this.nameFounder(instance);
			return;
		}

		if (!memory || !disk || disk.clusterId !== undefined || memory.decision) {
			return;
		}

		memory.decision = this.decide(disk, this.seeds, memory.answers.filter(({address}) => address !== disk.address));
		memory.answers = [];
	}

	private record(instance: Instance): void {
		const {memory, disk} = instance;
		if (!memory?.decision || !disk) {
			return;
		}

		instance.disk = {...disk, ...memory.decision};
		memory.decision = undefined;
		if (instance.disk.clusterId !== undefined) {
			this.logs.add(instance.disk.clusterId);
		}
	}
}
