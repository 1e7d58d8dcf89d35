/**
 * The schema of intent files and their conversion to the shape in `mastvalve-types`.
 */

import {ServiceKind, type Finding, type Intent} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {checkToml} from './check.js';
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

const addDuplicateIssues = (ctx: z.RefinementCtx, names: Array<{name: string; path: Array<string | number>}>): void => {
	names.forEach(({name, path}, index) => {
		if (names.findIndex(other => other.name === name) < index) {
			ctx.addIssue({code: 'custom', path, message: `a name that is used once; "${name}" stands above already`});
		}
	});
};

/** The shape of an intent file. */
export const intentFileSchema = z
	.strictObject({
		services: z.array(serviceSchema).min(1),
		models: z.array(modelSchema).default([]),
		events: z.array(eventSchema).default([]),
	})
	.superRefine((file, ctx) => {
		addDuplicateIssues(ctx, file.services.map((service, index) => ({name: service.name, path: ['services', index, 'name']})));
		addDuplicateIssues(ctx, file.models.flatMap((model, index) => [
			{name: model.name, path: ['models', index, 'name']},
			...model.adapters.map((adapter, at) => ({name: adapter.name, path: ['models', index, 'adapters', at, 'name']})),
		]));
		const modelServices = file.services.filter(service => service.kind === ServiceKind.Model).map(service => service.name);
		file.models.forEach((model, index) => {
			if (!modelServices.includes(model.service)) {
				ctx.addIssue({code: 'custom', path: ['models', index, 'service'], message: `a service of kind "model" in this file: ${modelServices.join(', ') || 'there is none'}`});
			}
		});
		const modelNames = new Set(file.models.map(model => model.name));
		file.events.forEach((event, index) => {
			event.models.forEach((entry, at) => {
				if (!modelNames.has(entry.model)) {
					ctx.addIssue({code: 'custom', path: ['events', index, 'models', at, 'model'], message: 'a model of this file'});
				}
			});
		});
	});

/** Reads and checks an intent file. */
export const readIntent = (file: string, text: string): Result<Intent, Finding[]> =>
	checkToml(file, text, intentFileSchema).map(parsed => ({
		services: parsed.services.map(service => ({name: service.name, kind: service.kind, notRepeated: service.not_repeated})),
		models: parsed.models.map(({min_replicas: minReplicas, ...model}) => ({...model, minReplicas})),
		events: parsed.events,
	}));
