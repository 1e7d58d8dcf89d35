/**
 * Holds the configuration in force in one process, with its latest changes, and wakes those who wait for the next.
 */

import type {Configuration, ConfigurationChange, ConfigurationUpdate} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {
	adoptUpdate, defaultAdoptionRules, type AdoptionRules, type ForeignConfigurationError,
} from './adoption.js';
import {diffConfigurations, isEmptyChange} from './changes.js';

/** Changes that are kept for those who are a little behind. */
const defaultKeptChanges = 1000;

/** Bytes of JSON that the kept changes may have in all; a change of a crowded endpoint alone can have many. */
const maxKeptBytes = 2_000_000;

type KeptChange = {change: ConfigurationChange; bytes: number};

/** One process's configuration. */
export class ConfigurationStore {
	private configuration: Configuration | undefined;
	private changes: KeptChange[] = [];
	private keptBytes = 0;
	private readonly listeners = new Set<() => void>();

	constructor(
		private readonly rules: AdoptionRules = defaultAdoptionRules,
		private readonly keptChanges = defaultKeptChanges,
	) {}

	/** What is in force here; undefined before the first. */
	get current(): Configuration | undefined {
		return this.configuration;
	}

	/** The revision in force here; -1 before the first. */
	get revision(): number {
		return this.configuration?.revision ?? -1;
	}

	/** Control's way in: a configuration that was just committed. */
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

	/** The way in of all others: an update from an upstream. True when something newer was taken. */
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

	/** What came after a revision; undefined when nothing did. */
	readAfter(revision: number): ConfigurationUpdate | undefined {
		const {configuration} = this;
		if (!configuration || revision >= configuration.revision) {
			return undefined;
		}

		const first = this.changes.findIndex(({change}) => change.base === revision);
		return first === -1
			? {clusterId: configuration.clusterId, changes: [], snapshot: configuration}
			: {clusterId: configuration.clusterId, changes: this.changes.slice(first).map(({change}) => change)};
	}

	/** Calls back after every change until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Waits until there is something after a revision; undefined when the signal aborts first. */
	async waitAfter(revision: number, signal: AbortSignal): Promise<ConfigurationUpdate | undefined> {
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
				const update = this.readAfter(revision);
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

	/** `changes` undefined means that the steps between are not known. */
	private replace(next: Configuration, changes: ConfigurationChange[] | undefined): void {
		this.configuration = next;
		this.keepChanges(changes);
		[...this.listeners].forEach(listener => {
			listener();
		});
	}
}
