/**
 * `mastvalve control`: runs a control instance.
 */

import {startControl} from 'mastvalve-control';
import {createProgramContext} from 'mastvalve-http';
import {Program} from 'mastvalve-settings';
import {commonOptions, requireOption, type Command} from '../cli/command.js';
import {unwrap} from '../cli/control-access.js';
import {loadSettings} from '../cli/files.js';
import {findInstance} from '../cli/find-instance.js';
import {runUntilStopped} from '../cli/run-program.js';

/** The command. */
export const command: Command = {
	name: 'control',
	usage: '--settings FILE --instance NAME',
	summary: 'run a control instance: the replicated log, intents, placement, claims',
	help: ['Its data folder holds its part of the log. SIGTERM hands leadership over and stops.'],
	options: {settings: commonOptions.settings, instance: {type: 'string', short: 'i'}},
	positionals: 0,
	async run(args) {
		const settings = await loadSettings(requireOption(args, 'settings'));
		const instance = findInstance(settings, requireOption(args, 'instance'), Program.Control);
		const context = createProgramContext({instance: instance.name, failureDomain: instance.failureDomain}, settings.logLevel);
		let reportFailure: () => void = () => undefined;
		const failure = new Promise<void>(resolve => {
			reportFailure = resolve;
		});
		const program = unwrap(await startControl({
			context, settings, instance, onFailure: reportFailure,
		}));
		return runUntilStopped(program, failure);
	},
};
