/**
 * The schema of intent files and their conversion to the shape in `mastvalve-types`.
 */

import {ServiceKind, type Finding, type Intent} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {checkToml, type CrossCheck} from './check.js';
import {findDuplicates} from './find-duplicates.js';
import {
	countSchema, nameSchema, positiveSchema, rateSchema,
} from './scalars.js';

const serviceSchema = z.strictObject({
	name: nameSchema,
	kind: z.enum(ServiceKind),
	not_repeated: z.array(z.string().regex(/^[A-Z]+ \/\S*$/v, 'a method and a path, such as "POST /loans"')).default([]),
});

const adapterSchema = z.strictObject({name: nameSchema, size: rateSchema});

const modelSchema = z.strictObject({
	name: nameSchema,
	service: nameSchema,
	size: rateSchema,
	adapters: z.array(adapterSchema).default([]),
	min_replicas: countSchema.default(1),
});

const eventSchema = z.strictObject({
	name: nameSchema,
	at: z.string().regex(/^(?:[01]\d|2[0-3]):[0-5]\d$/v, 'a time of day from "00:00" to "23:59"'),
	minutes: positiveSchema,
	models: z.array(z.strictObject({model: nameSchema, replicas: positiveSchema})).min(1),
	memory: rateSchema,
});

/** The shape of an intent file. */
export const intentFileSchema = z.strictObject({
	services: z.array(serviceSchema).min(1),
	models: z.array(modelSchema).default([]),
	events: z.array(eventSchema).default([]),
});

/** An intent file as it may be before it is checked. */
type RawIntent = {
	services?: Array<{name?: string; kind?: string}>;
	models?: Array<{name?: string; service?: string; adapters?: Array<{name?: string}>}>;
	events?: Array<{name?: string; models?: Array<{model?: string}>}>;
};

const listItems = <T>(items: T[] | undefined): T[] => (Array.isArray(items) ? items : []);

const checkIntentNames: CrossCheck = value => {
	const raw = assumeType<RawIntent>(value);
	const services = listItems(raw.services);
	const models = listItems(raw.models);
	const modelServices = services.filter(service => service.kind === String(ServiceKind.Model)).map(service => service.name);
	const modelNames = new Set(models.map(model => model.name));
	return [
		...findDuplicates(services.map(({name}, index) => ({name, path: ['services', index, 'name']}))),
		...findDuplicates(models.flatMap((model, index) => [
			{name: model.name, path: ['models', index, 'name']},
			...listItems(model.adapters).map(({name}, at) => ({name, path: ['models', index, 'adapters', at, 'name']})),
		])),
		...models.flatMap((model, index) => (modelServices.includes(model.service)
			? []
			: [{path: ['models', index, 'service'], allowed: `a service of kind "model" in this file: ${modelServices.join(', ') || 'there is none'}`}])),
		...listItems(raw.events).flatMap((event, index) => listItems(event.models).flatMap(({model}, at) => (modelNames.has(model)
			? []
			: [{path: ['events', index, 'models', at, 'model'], allowed: 'the name of a model of this file'}]))),
	];
};

/** Reads and checks an intent file. */
export const readIntent = (file: string, text: string): Result<Intent, Finding[]> =>
	checkToml(file, text, intentFileSchema, checkIntentNames).map(parsed => ({
		services: parsed.services.map(service => ({name: service.name, kind: service.kind, notRepeated: service.not_repeated})),
		models: parsed.models.map(({min_replicas: minReplicas, ...model}) => ({...model, minReplicas})),
		events: parsed.events,
	}));
