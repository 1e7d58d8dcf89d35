/**
 * Taking over an update: never an older one, never one of another cluster, never one with a gap.
 */

import {MastvalveError, type Configuration, type ConfigurationUpdate} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {applyChange} from './changes.js';

/** The decision on which "never backwards" rests, as a function so that proofs can hand in a broken one. */
export type AdoptionRules = {
	isNewer: (offered: number, current: number) => boolean;
};

/** Only higher revisions are taken. */
export const defaultAdoptionRules: AdoptionRules = {isNewer: (offered, current) => offered > current};

/** The update comes from another replicated log than what is in force. */
export class ForeignConfigurationError extends MastvalveError {
	constructor(offered: string, current: string) {
		super('foreign-configuration', `The upstream serves cluster ${offered}, and this process follows ${current}. `
			+ 'Check the upstreams in the settings; if control was set up anew on purpose, restart this process.');
		this.name = 'ForeignConfigurationError';
	}
}

/** The configuration after an update; the same object when there is nothing newer in it. */
export const adoptUpdate = (
	current: Configuration | undefined,
	update: ConfigurationUpdate,
	rules: AdoptionRules = defaultAdoptionRules,
): Result<Configuration | undefined, ForeignConfigurationError> => {
	if (current && current.clusterId !== update.clusterId) {
		return err(new ForeignConfigurationError(update.clusterId, current.clusterId));
	}

	const {snapshot} = update;
	const base = snapshot && (!current || rules.isNewer(snapshot.revision, current.revision)) ? snapshot : current;
	return ok(update.changes.reduce<Configuration | undefined>(
		(configuration, change) =>
			(configuration?.revision === change.base && rules.isNewer(change.revision, configuration.revision)
				? applyChange(configuration, change)
				: configuration),
		base,
	));
};
