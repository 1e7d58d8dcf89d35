/**
 * Kinds of values that both settings and intents use.
 */

import {z} from 'zod';

/** Names of instances, services, models: safe in paths and headers. */
export const nameSchema = z.string().regex(/^\w[\w.:\-]{0,99}$/v, 'a name of letters, digits, ".", ":", "_" and "-", at most 100 long');

/** `ip:port`. */
export const addressSchema = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[\da-f:]+\]:\d{1,5}$/v, 'an IP address and port, such as "127.0.0.1:8080"');

/** An HTTP URL of an instance. */
export const urlSchema = z.string().regex(/^http:\/\/[\d.:\[\]a-f]+$/v, 'an http URL with IP address and port and no path, such as "http://127.0.0.1:9100"');

/** Whole numbers from 0; TOML integers may arrive as bigint. */
export const countSchema = z.preprocess(value => (typeof value === 'bigint' ? Number(value) : value), z.number().int().min(0));

/** Whole numbers from 1. */
export const positiveSchema = z.preprocess(value => (typeof value === 'bigint' ? Number(value) : value), z.number().int().min(1));

/** Numbers above 0. */
export const rateSchema = z.preprocess(value => (typeof value === 'bigint' ? Number(value) : value), z.number().positive());

/** Shares from 0 to 1. */
export const shareSchema = z.preprocess(value => (typeof value === 'bigint' ? Number(value) : value), z.number().min(0).max(1));
