/**
 * Applies updates to a configuration: never an older one, one of another cluster or one with a gap.
 */

import {MastvalveError, type Configuration, type ConfigurationUpdate} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {applyChange} from './changes.js';

/** Rule that keeps revisions monotonic, as a parameter so that proofs can inject a faulty one. */
export type AdoptionRules = {
	isNewer: (offered: number, current: number) => boolean;
};

/** Accepts higher revisions only. */
export const defaultAdoptionRules: AdoptionRules = {isNewer: (offered, current) => offered > current};

/** Thrown when an update is from another replicated log than the configuration in force. */
export class ForeignConfigurationError extends MastvalveError {
	constructor(offered: string, current: string) {
		super('foreign-configuration', `The upstream serves cluster ${offered}, and this process follows ${current}. `
			+ 'Check the upstreams in the settings; if control was set up anew on purpose, restart this process.');
		this.name = 'ForeignConfigurationError';
	}
}

/** Returns the configuration after an update; the same object if the update has nothing newer. */
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
