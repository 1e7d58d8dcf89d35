/**
 * The fleet's state machine: the configuration in force and all endpoints. Deterministic; driven by the replicated log.
 *
 * A configuration replaces only one with a lower version. An endpoint goes forward only: once it is leaving or gone,
 * no late heartbeat brings it back.
 */

import {assumeType} from 'mastvalve-utils';
import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import {applyHoldings, applyReport} from './apply-report.js';
import {FleetCommandKind, type FleetCommand} from './fleet-command.js';
import {EndpointPhase, type EndpointReport, type FleetEndpoint} from './fleet-endpoint.js';
import type {FleetUpdate} from './fleet-update.js';

/** The state as plain data. */
export type FleetSnapshot = {
	stated: StatedConfiguration | undefined;
	configuredAt: number;
	forgottenAt: number;
	endpoints: FleetEndpoint[];
	orderHolder: string | undefined;
};

/** The state machine. */
export class FleetMachine {
	/** Log index of the last change. */
	revision = 0;
	private stated: StatedConfiguration | undefined;
	private configuredAt = 0;
	/** Revision of the last time that an endpoint was forgotten. */
	private forgottenAt = 0;
	/** The control instance that gives orders to engines. */
	private orderHolder: string | undefined;
	private readonly endpoints = new Map<string, FleetEndpoint>();

	constructor(private readonly onChange: () => void = () => undefined) {}

	get configuration(): StatedConfiguration | undefined {
		return this.stated;
	}

	/** All endpoints that are not forgotten. */
	list(): FleetEndpoint[] {
		return [...this.endpoints.values()];
	}

	find(id: string): FleetEndpoint | undefined {
		return this.endpoints.get(id);
	}

	/** Applies a command. The result is the version held, for a configuration. */
	apply(command: unknown, index: number): unknown {
		const before = this.revision;
		const result = this.applyCommand(assumeType<FleetCommand>(command), index);
		if (this.revision !== before) {
			this.onChange();
		}

		return result;
	}

	takeSnapshot(): FleetSnapshot {
		return {
			stated: this.stated, configuredAt: this.configuredAt, forgottenAt: this.forgottenAt, endpoints: this.list(), orderHolder: this.orderHolder,
		};
	}

	restoreSnapshot(data: unknown, index: number): void {
		const snapshot = assumeType<FleetSnapshot>(data);
		this.stated = snapshot.stated;
		this.configuredAt = snapshot.configuredAt;
		this.forgottenAt = snapshot.forgottenAt;
		this.orderHolder = snapshot.orderHolder;
		this.endpoints.clear();
		snapshot.endpoints.forEach(endpoint => {
			this.endpoints.set(endpoint.id, endpoint);
		});
		this.revision = index;
		this.onChange();
	}

	/** What changed behind a revision. */
	changesSince(revision: number): FleetUpdate {
		const isWhole = revision < this.forgottenAt || revision > this.revision;
		const from = isWhole ? -1 : revision;
		return {
			revision: this.revision,
			isWhole,
			configuration: this.configuredAt > from ? this.stated?.configuration : undefined,
			endpoints: this.list().filter(endpoint => endpoint.revision > from),
		};
	}

	private applyCommand(command: FleetCommand, index: number): unknown {
		switch (command.kind) {
			case FleetCommandKind.Configure: {
				return this.configure(command.stated, index);
			}

			case FleetCommandKind.Report: {
				return this.report(command.report, index);
			}

			case FleetCommandKind.Leave: {
				return this.setPhase(command.id, EndpointPhase.Gone, index);
			}

			case FleetCommandKind.MarkSilent: {
				command.ids
					.filter(id => this.endpoints.get(id)?.phase === EndpointPhase.Ready)
					.forEach(id => {
						this.setPhase(id, EndpointPhase.Silent, index);
					});
				return true;
			}

			case FleetCommandKind.Forget: {
				return this.forget(command.ids, index);
			}

			case FleetCommandKind.RecordHoldings: {
				return this.replace(applyHoldings(this.endpoints.get(command.holdings.id), command.holdings, index), index);
			}

			case FleetCommandKind.ClaimOrders: {
				const former = this.orderHolder ?? '';
				this.orderHolder = command.holder;
				return former;
			}
		}
	}

	private configure(stated: StatedConfiguration, index: number): number {
		const held = this.stated?.configuration.version ?? -1;
		const {version} = stated.configuration;
		if (version <= held) {
			return held;
		}

		this.stated = stated;
		this.configuredAt = index;
		this.revision = index;
		return version;
	}

	/** A new identity at an address tells that the former one has ended. */
	private report(report: EndpointReport, index: number): boolean {
		if (!this.endpoints.has(report.id)) {
			this.list()
				.filter(({address, phase}) => address === report.address && phase !== EndpointPhase.Gone)
				.forEach(({id}) => {
					this.setPhase(id, EndpointPhase.Gone, index);
				});
		}

		return this.replace(applyReport(this.endpoints.get(report.id), report, index), index);
	}

	private setPhase(id: string, phase: EndpointPhase, index: number): boolean {
		const known = this.endpoints.get(id);
		return known ? this.replace({...known, phase, revision: index}, index) : false;
	}

	private replace(endpoint: FleetEndpoint | undefined, index: number): boolean {
		if (!endpoint || endpoint === this.endpoints.get(endpoint.id)) {
			return false;
		}

		this.endpoints.set(endpoint.id, endpoint);
		this.revision = index;
		return true;
	}

	private forget(ids: readonly string[], index: number): boolean {
		const known = ids.filter(id => this.endpoints.has(id));
		known.forEach(id => {
			this.endpoints.delete(id);
		});
		if (known.length > 0) {
			this.forgottenAt = index;
			this.revision = index;
		}

		return known.length > 0;
	}
}
