/**
 * `mastvalve timeline`: the events of all processes in causal order.
 */

import {writeFile} from 'node:fs/promises';
import {assumeType, formatTable} from 'mastvalve-utils';
import {mergeTimelines} from 'mastvalve-logger';
import type {TimelineEvent} from 'mastvalve-types';
import {request} from 'undici';
import {
	commonOptions, readOption, requireOption, type Command,
} from '../cli/command.js';
import {ExitCode} from '../cli/exit-code.js';
import {loadSettings} from '../cli/files.js';
import {print, printError, printJson} from '../cli/output.js';
import {renderTimeline} from '../timeline/render-timeline.js';

const fetchMs = 2000;

const fetchTimeline = async (listen: string, requestId: string | undefined): Promise<TimelineEvent[] | undefined> => {
	const query = requestId === undefined ? '' : `?request=${encodeURIComponent(requestId)}`;
	try {
		const res = await request(`http://${listen}/timeline${query}`, {signal: AbortSignal.timeout(fetchMs)});
		return assumeType<TimelineEvent[]>(await res.body.json());
	} catch {
		return undefined;
	}
};

const formatEvents = (events: TimelineEvent[]): string =>
	formatTable(events.map(event => [
		`${new Date(event.clock.wall).toISOString()}+${event.clock.counter}`,
		event.instance,
		event.kind,
		event.requestId ?? '-',
		event.detail,
	]));

/** The command. */
export const command: Command = {
	name: 'timeline',
	usage: '--settings FILE [--request ID] [--html FILE] [--json]',
	summary: 'show the events of all processes in causal order',
	help: [
		'Each process keeps its latest 2000 events; older ones are in its log.',
		'--request shows one request through all processes; --html writes a page with a lane for each process.',
	],
	options: {
		settings: commonOptions.settings, json: commonOptions.json, request: {type: 'string'}, html: {type: 'string'},
	},
	positionals: 0,
	async run(args) {
		const settings = await loadSettings(requireOption(args, 'settings'));
		const requestId = readOption(args, 'request');
		const fetched = await Promise.all(settings.instances.map(async instance => ({instance, events: await fetchTimeline(instance.listen, requestId)})));
		fetched.filter(({events}) => !events).forEach(({instance}) => {
			printError(`${instance.name} at ${instance.listen} does not answer; its events are missing`);
		});
		const events = mergeTimelines(fetched.map(({events: own}) => own ?? []));
		const html = readOption(args, 'html');
		if (html !== undefined) {
			await writeFile(html, renderTimeline(events, settings.deployment));
			print(`${html}: ${events.length} events`);
		} else if (args.options.json) {
			printJson(events);
		} else {
			print(formatEvents(events));
		}

		return ExitCode.Ok;
	},
};
