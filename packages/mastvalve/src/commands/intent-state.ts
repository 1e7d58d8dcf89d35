/**
 * `mastvalve intent state`: states an intent and shows the plan that it gives.
 */

import {commonOptions, type Command} from '../cli/command.js';
import {chooseRequestId, openControl, unwrap} from '../cli/control-access.js';
import {ExitCode} from '../cli/exit-code.js';
import {loadIntent} from '../cli/files.js';
import {formatPlan} from '../cli/format-plan.js';
import {print, printJson} from '../cli/output.js';

/** The command. */
export const command: Command = {
	name: 'intent state',
	usage: 'FILE --settings FILE [--request-id ID] [--json]',
	summary: 'state an intent; shows the plan that it gives and changes nothing',
	help: ['Confirm the plan with "mastvalve plan confirm ID". A request resent with the same --request-id gets its first answer.'],
	options: {settings: commonOptions.settings, json: commonOptions.json, 'request-id': {type: 'string'}},
	positionals: 1,
	async run(args) {
		const intent = await loadIntent(args.positionals[0] ?? '');
		const control = await openControl(args);
		const plan = unwrap(await control.stateIntent({requestId: chooseRequestId(args), intent}));
		if (args.options.json) {
			printJson(plan);
		} else {
			print(formatPlan(plan));
		}

		return plan.refusals.length === 0 ? ExitCode.Ok : ExitCode.Refused;
	},
};
