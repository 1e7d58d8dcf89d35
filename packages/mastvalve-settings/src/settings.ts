/**
 * The settings of a deployment, as the programs use them.
 */

import type {LogLevel} from 'mastvalve-types';

/** Which program an instance runs. */
export enum Program {
	Control = 'control',
	Entry = 'entry',
	Sidecar = 'sidecar',
}

type InstanceBase = {
	name: string;
	failureDomain: string;
	/** `ip:port` on which it listens. */
	listen: string;
	/** Names of the instances from which it takes the configuration, in order of preference. */
	upstreams: string[];
};

/** A control instance; it has a disk. */
export type ControlInstance = InstanceBase & {program: Program.Control; dataFolder: string};

/** An entry instance. */
export type EntryInstance = InstanceBase & {program: Program.Entry};

/** A sidecar with its endpoint. */
export type SidecarInstance = InstanceBase & {
	program: Program.Sidecar;
	service: string;
	/** Base URL of the endpoint beside it. */
	endpointUrl: string;
	/** Accelerator memory; 0 for a plain service. */
	capacity: number;
	/** Whether the endpoint checks fencing tokens. */
	fenced: boolean;
	/** Requests that it runs at once. */
	maxRunning: number;
	/** Requests that may wait. */
	maxQueued: number;
};

/** Any instance. */
export type Instance = ControlInstance | EntryInstance | SidecarInstance;

/** Rules of the weight store. */
export type WeightStoreSettings = {loadsPerSecond: number; parallelLoads: number};

/** Weights and limits of the policy. */
export type PolicySettings = {
	/** Attainment given up to save one move; see docs/operations/settings.md. */
	moveWeight: number;
	/** Requests a second that one replica of a model serves within target. */
	ratePerReplica: number;
	/** Retries as a share of first tries. */
	retryShare: number;
	/** Deadline of a request that states none, ms. */
	defaultDeadlineMs: number;
	/** Requests that an entry has in progress at once. */
	maxInFlight: number;
	/** Largest request body, bytes. */
	maxBodyBytes: number;
	/** Largest answer that is read whole, bytes; an entry holds one up to four times over (its chunks, whole, and in base64 for repeats). */
	maxAnswerBytes: number;
	/** How long keys of calls that must not be repeated are kept, ms. */
	claimRetentionMs: number;
};

/** A whole deployment. */
export type Settings = {
	deployment: string;
	/** URL of the platform's list of live and leaving instances; none means sidecars and operators alone decide. */
	platformList: string | undefined;
	weightStore: WeightStoreSettings;
	policy: PolicySettings;
	logLevel: LogLevel;
	instances: Instance[];
};
