/**
 * `mastvalve plan confirm`: carries out exactly what was reviewed.
 */

import {commonOptions, type Command} from '../cli/command.js';
import {chooseRequestId, openControl, unwrap} from '../cli/control-access.js';
import {ExitCode} from '../cli/exit-code.js';
import {print, printJson} from '../cli/output.js';

/** The command. */
export const command: Command = {
	name: 'plan confirm',
	usage: 'ID --settings FILE [--request-id ID] [--json]',
	summary: 'confirm a reviewed plan, by its hash',
	help: [
		'Refused with exit code 5 when another plan was confirmed since, or when endpoints came or went so that it would do something else.',
		'A request resent with the same --request-id gets its first answer.',
	],
	options: {settings: commonOptions.settings, json: commonOptions.json, 'request-id': {type: 'string'}},
	positionals: 1,
	async run(args) {
		const control = await openControl(args);
		const confirmation = unwrap(await control.confirmPlan({requestId: chooseRequestId(args), planId: args.positionals[0] ?? ''}));
		if (args.options.json) {
			printJson(confirmation);
		} else {
			print(`confirmed: version ${confirmation.version} is in force from revision ${confirmation.revision}`);
		}

		return ExitCode.Ok;
	},
};
