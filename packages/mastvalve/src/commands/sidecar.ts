/**
 * `mastvalve sidecar`: runs the sidecar of one endpoint.
 */

import {createProgramContext} from 'mastvalve-http';
import {Program} from 'mastvalve-settings';
import {startSidecar} from 'mastvalve-sidecar';
import {commonOptions, requireOption, type Command} from '../cli/command.js';
import {unwrap} from '../cli/control-access.js';
import {loadSettings} from '../cli/files.js';
import {findInstance, listUpstreamUrls} from '../cli/find-instance.js';
import {runUntilStopped} from '../cli/run-program.js';

/** The command. */
export const command: Command = {
	name: 'sidecar',
	usage: '--settings FILE --instance NAME',
	summary: 'run the sidecar of one endpoint: admission, accelerator memory, orders',
	help: ['It is the only way to its endpoint. SIGTERM makes the endpoint leave: it takes nothing new and finishes what it has.'],
	options: {settings: commonOptions.settings, instance: {type: 'string', short: 'i'}},
	positionals: 0,
	async run(args) {
		const settings = await loadSettings(requireOption(args, 'settings'));
		const instance = findInstance(settings, requireOption(args, 'instance'), Program.Sidecar);
		const context = createProgramContext({instance: instance.name, failureDomain: instance.failureDomain}, settings.logLevel);
		return runUntilStopped(unwrap(await startSidecar({
			context, settings, instance, upstreamUrls: listUpstreamUrls(settings, instance),
		})));
	},
};
