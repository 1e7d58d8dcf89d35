/**
 * `mastvalve entry`: runs an entry instance.
 */

import {startEntry} from 'mastvalve-entry';
import {createProgramContext} from 'mastvalve-http';
import {Program} from 'mastvalve-settings';
import {commonOptions, requireOption, type Command} from '../cli/command.js';
import {unwrap} from '../cli/control-access.js';
import {loadSettings} from '../cli/files.js';
import {findInstance, listUpstreamUrls} from '../cli/find-instance.js';
import {runUntilStopped} from '../cli/run-program.js';

/** The command. */
export const command: Command = {
	name: 'entry',
	usage: '--settings FILE --instance NAME',
	summary: 'run an entry instance: the HTTP interface for callers',
	help: ['It keeps nothing; any entry serves any caller. SIGTERM finishes what is in progress and stops.'],
	options: {settings: commonOptions.settings, instance: {type: 'string', short: 'i'}},
	positionals: 0,
	async run(args) {
		const settings = await loadSettings(requireOption(args, 'settings'));
		const instance = findInstance(settings, requireOption(args, 'instance'), Program.Entry);
		const context = createProgramContext({instance: instance.name, failureDomain: instance.failureDomain}, settings.logLevel);
		return runUntilStopped(unwrap(await startEntry({
			context, settings, instance, upstreamUrls: listUpstreamUrls(settings, instance),
		})));
	},
};
