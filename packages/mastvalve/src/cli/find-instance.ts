/**
 * Finding an instance of the settings by its name.
 */

import {assumeType} from 'mastvalve-utils';
import type {Instance, Program, Settings} from 'mastvalve-settings';
import {UsageError} from './command.js';

/** The instance, which must run the program. */
export const findInstance = <Name extends Program>(settings: Settings, name: string, program: Name): Extract<Instance, {program: Name}> => {
	const instance = settings.instances.find(candidate => candidate.name === name);
	if (instance?.program !== program) {
		const names = settings.instances.filter(candidate => candidate.program === program).map(candidate => candidate.name);
		throw new UsageError(`The settings have no ${program} instance "${name}". There are: ${names.join(', ') || 'none'}.`);
	}

	return assumeType<Extract<Instance, {program: Name}>>(instance);
};

/** URLs of an instance's upstreams, in its order of preference. */
export const listUpstreamUrls = (settings: Settings, instance: Instance): string[] =>
	instance.upstreams.flatMap(name => settings.instances.filter(candidate => candidate.name === name).map(candidate => `http://${candidate.listen}`));
