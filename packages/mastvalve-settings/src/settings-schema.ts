/**
 * The schema of settings files and their conversion to `Settings`.
 */

import {LogLevel, type Finding} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {checkToml, type CrossCheck} from './check.js';
import {findDuplicates} from './find-duplicates.js';
import {
	addressSchema, countSchema, nameSchema, positiveSchema, rateSchema, shareSchema, urlSchema,
} from './scalars.js';
import {Program, type Instance, type Settings} from './settings.js';

const millisPerHour = 3_600_000;

/** Control runs on 1 (for development), 3, 5 or 7 instances. */
const controlCounts = [1, 3, 5, 7];

const instanceBase = {
	name: nameSchema,
	failure_domain: nameSchema,
	listen: addressSchema,
};

const instanceSchema = z.discriminatedUnion('program', [
	z.strictObject({...instanceBase, program: z.literal(Program.Control), data_folder: z.string().min(1)}),
	z.strictObject({...instanceBase, program: z.literal(Program.Entry), upstreams: z.array(nameSchema).min(1)}),
	z.strictObject({
		...instanceBase,
		program: z.literal(Program.Sidecar),
		upstreams: z.array(nameSchema).min(1),
		service: nameSchema,
		endpoint_url: urlSchema,
		capacity: countSchema.default(0),
		fenced: z.boolean().default(false),
		max_running: positiveSchema.default(32),
		max_queued: countSchema.default(128),
	}),
]);

type InstanceFile = z.output<typeof instanceSchema>;

/** Instances as they may be before they are checked. */
type RawSettings = {instances?: Array<{name?: string; program?: string; listen?: string; upstreams?: string[]}>};

const checkInstances: CrossCheck = value => {
	const {instances: found} = assumeType<RawSettings>(value);
	const instances = Array.isArray(found) ? found : [];
	const controls = instances.filter(instance => instance.program === String(Program.Control)).length;
	const upstreamNames = new Set(instances
		.filter(instance => instance.program === String(Program.Control) || instance.program === String(Program.Entry))
		.map(instance => instance.name));
	return [
		...findDuplicates(instances.map(({name}, index) => ({name, path: ['instances', index, 'name']}))),
		...findDuplicates(instances.map(({listen}, index) => ({name: listen, path: ['instances', index, 'listen']}))),
		...instances.flatMap((instance, index) => (Array.isArray(instance.upstreams) ? instance.upstreams : [])
			.map((upstream, at) => ({upstream, path: ['instances', index, 'upstreams', at]}))
			.filter(({upstream}) => !upstreamNames.has(upstream) || upstream === instance.name)
			.map(({path}) => ({path, allowed: 'the name of a control or entry instance of this file, and not its own'}))),
		...(controlCounts.includes(controls) ? [] : [{path: ['instances'], allowed: `${controlCounts.join(', ')} instances of program "control"; there are ${controls}`}]),
	];
};

/** The shape of a settings file. */
export const settingsFileSchema = z.strictObject({
	deployment: nameSchema,
	log_level: z.enum(LogLevel).default(LogLevel.Info),
	platform_list: urlSchema.optional(),
	weight_store: z.strictObject({
		loads_per_second: rateSchema,
		parallel_loads: positiveSchema,
	}),
	policy: z.strictObject({
		move_weight: z.preprocess(value => (typeof value === 'bigint' ? Number(value) : value), z.number().min(0)).default(0.2),
		rate_per_replica: rateSchema.default(6),
		retry_share: shareSchema.default(0.1),
		default_deadline_ms: positiveSchema.default(30_000),
		max_in_flight: positiveSchema.default(2000),
		max_body_bytes: positiveSchema.default(2_000_000),
		max_answer_bytes: positiveSchema.default(4_000_000),
		claim_retention_hours: rateSchema.default(24),
	}).prefault({}),
	instances: z.array(instanceSchema).min(1),
});

const normalizeInstance = (instance: InstanceFile, controls: string[]): Instance => {
	const base = {name: instance.name, failureDomain: instance.failure_domain, listen: instance.listen};
	if (instance.program === Program.Control) {
		return {
			...base, program: instance.program, upstreams: controls.filter(name => name !== instance.name), dataFolder: instance.data_folder,
		};
	}

	if (instance.program === Program.Entry) {
		return {...base, program: instance.program, upstreams: instance.upstreams};
	}

	return {
		...base,
		program: instance.program,
		upstreams: instance.upstreams,
		service: instance.service,
		endpointUrl: instance.endpoint_url,
		capacity: instance.capacity,
		fenced: instance.fenced,
		maxRunning: instance.max_running,
		maxQueued: instance.max_queued,
	};
};

/** Reads and checks a settings file. */
export const readSettings = (file: string, text: string): Result<Settings, Finding[]> =>
	checkToml(file, text, settingsFileSchema, checkInstances).map(parsed => {
		const controls = parsed.instances.filter(instance => instance.program === Program.Control).map(instance => instance.name);
		return {
			deployment: parsed.deployment,
			platformList: parsed.platform_list,
			logLevel: parsed.log_level,
			weightStore: {loadsPerSecond: parsed.weight_store.loads_per_second, parallelLoads: parsed.weight_store.parallel_loads},
			policy: {
				moveWeight: parsed.policy.move_weight,
				ratePerReplica: parsed.policy.rate_per_replica,
				retryShare: parsed.policy.retry_share,
				defaultDeadlineMs: parsed.policy.default_deadline_ms,
				maxInFlight: parsed.policy.max_in_flight,
				maxBodyBytes: parsed.policy.max_body_bytes,
				maxAnswerBytes: parsed.policy.max_answer_bytes,
				claimRetentionMs: parsed.policy.claim_retention_hours * millisPerHour,
			},
			instances: parsed.instances.map(instance => normalizeInstance(instance, controls)),
		};
	});
