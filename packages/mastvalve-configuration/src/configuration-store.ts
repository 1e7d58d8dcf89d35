/**
 * Holds the configuration in force of one process with its latest changes, and notifies listeners of updates.
 */

import type {Configuration, ConfigurationChange, ConfigurationUpdate} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {
	adoptUpdate, defaultAdoptionRules, type AdoptionRules, type ForeignConfigurationError,
} from './adoption.js';
import {diffConfigurations, isEmptyChange} from './changes.js';

/** Changes that are retained for followers that are slightly behind. */
const defaultKeptChanges = 1000;

/** Limit on the JSON of all retained changes; a single change of an endpoint with many models can be large. */
const maxKeptBytes = 2_000_000;

type KeptChange = {change: ConfigurationChange; bytes: number};

export class ConfigurationStore {
	private configuration: Configuration | undefined;
	private changes: KeptChange[] = [];
	private keptBytes = 0;
	private readonly listeners = new Set<() => void>();

	constructor(
		private readonly rules: AdoptionRules = defaultAdoptionRules,
		private readonly keptChanges = defaultKeptChanges,
	) {}

	/** Configuration in force; undefined before the first. */
	get current(): Configuration | undefined {
		return this.configuration;
	}

	/** Revision in force; -1 before the first. */
	get revision(): number {
		return this.configuration?.revision ?? -1;
	}

	/** Publishes a newly committed configuration. Called by control. */
	publish(next: Configuration): void {
		if (this.configuration && next.revision <= this.configuration.revision) {
			return;
		}

		const change = this.configuration && diffConfigurations(this.configuration, next);
		if (change && isEmptyChange(change)) {
			return;
		}

		this.replace(next, change ? [change] : []);
	}

	/** Applies an update from an upstream. Called by all other processes. Returns whether the configuration has changed. */
	adopt(update: ConfigurationUpdate): Result<boolean, ForeignConfigurationError> {
		return adoptUpdate(this.configuration, update, this.rules).map(next => {
			if (!next || next === this.configuration) {
				return false;
			}

			const isStepwise = update.snapshot === undefined && this.configuration !== undefined;
			this.replace(next, isStepwise ? update.changes.filter(change => change.base >= this.revision) : undefined);
			return true;
		});
	}

	/** Returns the update since a revision; undefined if there is none. */
	readUpdateAfter(revision: number): ConfigurationUpdate | undefined {
		const {configuration} = this;
		if (!configuration || revision >= configuration.revision) {
			return undefined;
		}

		const first = this.changes.findIndex(({change}) => change.base === revision);
		return first === -1
			? {clusterId: configuration.clusterId, changes: [], snapshot: configuration}
			: {clusterId: configuration.clusterId, changes: this.changes.slice(first).map(({change}) => change)};
	}

	/** Calls the listener after each change until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Waits for an update since a revision; undefined if the signal aborts first. */
	async waitForUpdateAfter(revision: number, signal: AbortSignal): Promise<ConfigurationUpdate | undefined> {
		return new Promise(resolve => {
			const finish = (update: ConfigurationUpdate | undefined) => {
				unsubscribe();
				signal.removeEventListener('abort', onAbort);
				resolve(update);
			};

			const onAbort = () => {
				finish(undefined);
			};

			const onChange = () => {
				const update = this.readUpdateAfter(revision);
				if (update) {
					finish(update);
				}
			};

			const unsubscribe = this.subscribe(onChange);
			signal.addEventListener('abort', onAbort);
			onChange();
			if (signal.aborted) {
				onAbort();
			}
		});
	}

	private keepChanges(changes: ConfigurationChange[] | undefined): void {
		if (!changes) {
			this.changes = [];
			this.keptBytes = 0;
			return;
		}

		changes.forEach(change => {
			const bytes = JSON.stringify(change).length;
			this.changes.push({change, bytes});
			this.keptBytes += bytes;
		});
		while (this.changes.length > this.keptChanges || this.keptBytes > maxKeptBytes) {
			this.keptBytes -= this.changes.shift()?.bytes ?? 0;
		}
	}

	/** `changes` is undefined if the intermediate changes are not known. */
	private replace(next: Configuration, changes: ConfigurationChange[] | undefined): void {
		this.configuration = next;
		this.keepChanges(changes);
		[...this.listeners].forEach(listener => {
			listener();
		});
	}
}
