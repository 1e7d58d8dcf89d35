/**
 * `mastvalve status`: what is in force, and how the endpoints are.
 */

import type {ControlStatus} from 'mastvalve-control';
import {compareText, formatTable} from 'mastvalve-utils';
import {commonOptions, type Command} from '../cli/command.js';
import {openControl, unwrap} from '../cli/control-access.js';
import {ExitCode} from '../cli/exit-code.js';
import {print, printJson} from '../cli/output.js';

const formatStatus = (status: ControlStatus): string => {
	const {configuration} = status;
	const reports = new Map(status.reports.map(report => [report.endpointId, report]));
	const rows = Object.values(configuration.endpoints).toSorted((a, b) => compareText(a.id, b.id)).map(endpoint => {
		const report = reports.get(endpoint.id);
		const placement = configuration.placements[endpoint.id];
		return [
			endpoint.id,
			endpoint.service,
			endpoint.failureDomain,
			endpoint.state,
			`incarnation ${endpoint.incarnation}`,
			endpoint.capacity === 0 ? '' : `${placement?.loaded.length ?? 0} of ${placement?.assignments.length ?? 0} models loaded`,
			report ? `${report.running} running, ${report.queued} queued` : 'no report',
		];
	});
	return [
		`cluster ${status.clusterId}, leader ${status.instance} in term ${status.term}, ${status.voters.length} voters, ${status.learners.length} learners`,
		`version ${configuration.version}, revision ${configuration.revision}, ${status.claims} claims kept`,
		`${Object.keys(configuration.services).length} services, ${Object.keys(configuration.models).length} models`,
		formatTable(rows),
	].join('\n');
};

/** The command. */
export const command: Command = {
	name: 'status',
	usage: '--settings FILE [--json]',
	summary: 'show the configuration in force, the leader and the endpoints',
	help: ['Asks the leader, so what it shows is never out of date.'],
	options: {settings: commonOptions.settings, json: commonOptions.json},
	positionals: 0,
	async run(args) {
		const control = await openControl(args);
		const status = unwrap(await control.readStatus());
		if (args.options.json) {
			printJson(status);
		} else {
			print(formatStatus(status));
		}

		return ExitCode.Ok;
	},
};
