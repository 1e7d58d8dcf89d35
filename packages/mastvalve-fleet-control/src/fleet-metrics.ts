/**
 * Metrics of a control instance, collected on each scrape.
 */

import {countAbsentModels, EndpointPhase, isPartFingerprint} from 'mastvalve-fleet';
import {Gauge, type Registry} from 'prom-client';
import type {FleetControl} from './fleet-control.js';

type FleetGauge = {name: string; help: string; read: (control: FleetControl) => number};

/** Registers the gauge with one sample per endpoint that has announced a limit. */
const registerLimits = (registry: Registry, readControl: () => FleetControl | undefined): void => {
	const limits = new Gauge({
		name: 'mastvalve_endpoint_limit_per_second',
		help: 'Requests per second that an endpoint accepts from all entries together, while it announces a limit',
		labelNames: ['endpoint'],
		registers: [registry],
		collect() {
			limits.reset();
			readControl()?.machine.list().forEach(({id, phase, limitPerSecond}) => {
				if (limitPerSecond !== undefined && phase !== EndpointPhase.Gone) {
					limits.set({endpoint: id}, limitPerSecond);
				}
			});
		},
	});
};

/** Registers the gauge with one sample per service whose endpoints load models. */
const registerAbsentModels = (registry: Registry, readControl: () => FleetControl | undefined): void => {
	const absent = new Gauge({
		name: 'mastvalve_absent_models',
		help: 'Declared models that no endpoint holds, so that a request for them waits for a load',
		labelNames: ['service'],
		registers: [registry],
		collect() {
			absent.reset();
			const control = readControl();
			control?.machine.configuration?.configuration.services.filter(({engine}) => engine).forEach(service => {
				absent.set({service: service.name}, countAbsentModels(service, control.machine.list()));
			});
		},
	});
};

/** Registers the metrics; an instance that does not store the log exports no samples. */
export const registerFleetMetrics = (registry: Registry, readControl: () => FleetControl | undefined): void => {
	const gauges: FleetGauge[] = [
		{name: 'mastvalve_is_leader', help: '1 when this instance leads with a valid lease', read: control => Number(control.group.isLeading)},
		{name: 'mastvalve_is_current', help: '1 when this instance is in recent contact with the leader', read: control => Number(control.group.isCurrent)},
		{name: 'mastvalve_term', help: 'Term of the replicated log', read: control => control.group.term},
		{name: 'mastvalve_voters', help: 'Members that make up quorums', read: control => control.group.voters.length},
		{name: 'mastvalve_fleet_revision', help: 'Log index of the last change of the fleet', read: control => control.machine.revision},
		{name: 'mastvalve_configuration_version', help: 'Version of the configuration in force', read: control => control.machine.configuration?.configuration.version ?? 0},
		{name: 'mastvalve_endpoints', help: 'Endpoints on record', read: control => control.machine.list().length},
		{name: 'mastvalve_quarantined_requests', help: 'Requests that are not dispatched since several endpoints crashed running them', read: control => control.machine.listQuarantined().filter(fingerprint => !isPartFingerprint(fingerprint)).length},
		{name: 'mastvalve_quarantined_prompt_parts', help: 'Parts of prompts whose requests are not dispatched since several endpoints crashed running such requests', read: control => control.machine.listQuarantined().filter(fingerprint => isPartFingerprint(fingerprint)).length},
		{name: 'mastvalve_engine_runs', help: 'Requests at engines that this leader chose or was told of; 0 while another instance leads', read: control => control.dispatch.runCount},
		{name: 'mastvalve_waiting_claims', help: 'Claims that wait at this leader for an engine; 0 while another instance leads', read: control => control.dispatch.waitingCount},
	];
	registerLimits(registry, readControl);
	registerAbsentModels(registry, readControl);
	gauges.forEach(({name, help, read}) => {
		const gauge = new Gauge({
			name,
			help,
			registers: [registry],
			collect() {
				const control = readControl();
				if (control) {
					gauge.set(read(control));
				}
			},
		});
	});
};
