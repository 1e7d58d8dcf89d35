/**
 * `mastvalve endpoint drain`: makes an endpoint leave.
 */

import {commonOptions, type Command} from '../cli/command.js';
import {chooseRequestId, openControl, unwrap} from '../cli/control-access.js';
import {ExitCode} from '../cli/exit-code.js';
import {print, printJson} from '../cli/output.js';

/** The command. */
export const command: Command = {
	name: 'endpoint drain',
	usage: 'ID --settings FILE [--request-id ID] [--json]',
	summary: 'make an endpoint leave: it takes nothing new and finishes what it has',
	help: ['Its models get their new places at the same revision. It returns only as a new incarnation: restart its sidecar.'],
	options: {settings: commonOptions.settings, json: commonOptions.json, 'request-id': {type: 'string'}},
	positionals: 1,
	async run(args) {
		const endpointId = args.positionals[0] ?? '';
		const control = await openControl(args);
		unwrap(await control.drainEndpoint({requestId: chooseRequestId(args), endpointId}));
		if (args.options.json) {
			printJson({endpointId, state: 'leaving'});
		} else {
			print(`${endpointId} is leaving`);
		}

		return ExitCode.Ok;
	},
};
