/**
 * `mastvalve plan show`: shows a plan that waits for its confirmation.
 */

import {commonOptions, type Command} from '../cli/command.js';
import {openControl, unwrap} from '../cli/control-access.js';
import {ExitCode} from '../cli/exit-code.js';
import {formatPlan} from '../cli/format-plan.js';
import {print, printJson} from '../cli/output.js';

/** The command. */
export const command: Command = {
	name: 'plan show',
	usage: 'ID --settings FILE [--json]',
	summary: 'show a stated plan again',
	help: ['ID is the id that "mastvalve intent state" printed, or the start of it.'],
	options: {settings: commonOptions.settings, json: commonOptions.json},
	positionals: 1,
	async run(args) {
		const control = await openControl(args);
		const plan = unwrap(await control.showPlan(args.positionals[0] ?? ''));
		if (args.options.json) {
			printJson(plan);
		} else {
			print(formatPlan(plan));
		}

		return ExitCode.Ok;
	},
};
