/**
 * The HTTP application that every program starts from: health, readiness, metrics, time line, clocks, problem details.
 */

import {Hono} from 'hono';
import {MastvalveError, UnknownNameError} from 'mastvalve-types';
import {formatReading, parseReading, toMastvalveError} from 'mastvalve-utils';
import {Header} from './headers.js';
import {toProblemResponse} from './problem-response.js';
import type {ProgramContext} from './program-context.js';

/** Why a program isn't ready; undefined when it is. */
export type ReadReadiness = () => string | undefined;

/** An application with the routes that all programs have. */
export const createApp = (context: ProgramContext, readReadiness: ReadReadiness): Hono => {
	const app = new Hono();
	app.use(async (c, next) => {
		context.hybridClock.observe(parseReading(c.req.header(Header.Clock)));
		await next();
		c.res.headers.set(Header.Clock, formatReading(context.hybridClock.tick()));
	});
	app.get('/healthz', c => c.text('ok\n'));
	app.get('/readyz', c => {
		const reason = readReadiness();
		return reason === undefined ? c.text('ready\n') : c.text(`not ready: ${reason}\n`, 503);
	});
	app.get('/metrics', async () => new Response(await context.registry.metrics(), {headers: {'content-type': context.registry.contentType}}));
	app.get('/timeline', c => c.json(context.timeline.read(c.req.query('request'))));
	app.notFound(c => toProblemResponse(new UnknownNameError('path', c.req.path, 'See docs/operations/http.md for what there is.')));
	app.onError(thrown => {
		const error = toMastvalveError(thrown);
		if (!(thrown instanceof MastvalveError)) {
			context.logger.error({err: thrown}, 'a request failed inside mastvalve');
		}

		return toProblemResponse(error);
	});
	return app;
};
