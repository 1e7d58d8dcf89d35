/**
 * The control service of an instance that keeps no log: it passes every call on to instances that do and acknowledges
 * nothing by itself.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {EndpointReport, StatedConfiguration} from 'mastvalve-fleet';
import {ControlUnavailableError, type MastvalveError} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import type {ControlService} from './control-service.js';
import {ForwardedCall, type ReadConfiguration} from './forwarded-call.js';

/** What it is made from. */
export type ForwardedControlOptions = {
	client: PeerClient;
	/** Addresses of control instances, the nearest first. */
	listLogInstances: () => string[];
};

/**
 * Callers go to another instance after a second without an answer, so two silent instances are tried within that, ms. A
 * commit takes some ms.
 */
const callSilenceMs = 450;
const maxTries = 2;

/** The service. */
export class ForwardedControl implements ControlService {
	constructor(private readonly options: ForwardedControlOptions) {}

	async configure(stated: StatedConfiguration): Promise<Result<number, MastvalveError>> {
		return this.pass<number>(ForwardedCall.Configure, stated);
	}

	async readConfiguration(): Promise<Result<StatedConfiguration | undefined, MastvalveError>> {
		const read = await this.pass<ReadConfiguration>(ForwardedCall.ReadConfiguration, {});
		return read.map(({stated}) => stated);
	}

	async report(report: EndpointReport): Promise<Result<true, MastvalveError>> {
		return this.pass<true>(ForwardedCall.Report, report);
	}

	async leave(id: string): Promise<Result<true, MastvalveError>> {
		return this.pass<true>(ForwardedCall.Leave, {id});
	}

	private async pass<T>(call: ForwardedCall, body: unknown): Promise<Result<T, MastvalveError>> {
		const addresses = this.options.listLogInstances().slice(0, maxTries);
		const none: Result<T, MastvalveError> = err(new ControlUnavailableError('No control instance is known that could decide.'));
		return addresses.reduce<Promise<Result<T, MastvalveError>>>(async (before, address) => {
			const result = await before;
			return result.isOk()
				? result
				: this.options.client.call<T>({
					address, path: call, body, silenceMs: callSilenceMs,
				});
		}, Promise.resolve(none));
	}
}

/** Answers that passed-on calls get from a control instance. */
export const createForwardedHandlers = (service: ControlService): Array<[string, (body: unknown) => Promise<Result<unknown, MastvalveError>>]> => [
	[ForwardedCall.Configure, async body => service.configure(assumeType<StatedConfiguration>(body))],
	[ForwardedCall.ReadConfiguration, async () => {
		const read = await service.readConfiguration();
		return read.map((stated): ReadConfiguration => ({stated}));
	}],
	[ForwardedCall.Report, async body => service.report(assumeType<EndpointReport>(body))],
	[ForwardedCall.Leave, async body => service.leave(assumeType<{id: string}>(body).id)],
];
