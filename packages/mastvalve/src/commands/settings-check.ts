/**
 * `mastvalve settings check`: checks a settings or intent file.
 */

import {formatFinding, readIntent, readSettings} from 'mastvalve-settings';
import {commonOptions, type Command} from '../cli/command.js';
import {ExitCode} from '../cli/exit-code.js';
import {loadText} from '../cli/files.js';
import {print, printJson} from '../cli/output.js';

/** The command. */
export const command: Command = {
	name: 'settings check',
	usage: 'FILE [--intent] [--json]',
	summary: 'check a settings file, or with --intent an intent file, and report every finding',
	help: ['Ends with 0 when there are no findings, with 3 when there are.'],
	options: {json: commonOptions.json, intent: {type: 'boolean'}},
	positionals: 1,
	async run({options, positionals: [file = '']}) {
		const text = await loadText(file);
		const result = options.intent ? readIntent(file, text) : readSettings(file, text);
		const findings = result.isErr() ? result.error : [];
		if (options.json) {
			printJson({file, findings});
		} else {
			findings.forEach(finding => {
				print(formatFinding(finding));
			});
			print(`${file}: ${findings.length === 0 ? 'no findings' : `${findings.length} findings`}`);
		}

		return findings.length === 0 ? ExitCode.Ok : ExitCode.Findings;
	},
};
