/**
 * The control service of an instance that does not store the log: forwards every call to instances that do, and acknowledges
 * nothing by itself.
 */

import type {PeerClient} from 'mastvalve-cluster';
import type {EndpointReport, StatedConfiguration} from 'mastvalve-fleet';
import {ControlUnavailableError, type MastvalveError} from 'mastvalve-types';
import {assumeType} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import type {ControlService} from './control-service.js';
import {ForwardedCall, type ReadConfiguration} from './forwarded-call.js';

export type ForwardedControlOptions = {
	client: PeerClient;
	/** Lists the addresses of control instances that store the log, nearest first. */
	listLogInstances: () => string[];
};

/**
 * Time without a response after which the next instance is tried, ms. Callers switch to another instance after 1 s, so two
 * attempts must fit into it. A commit takes a few ms.
 */
const callTimeoutMs = 450;
const maxAttempts = 2;

export class ForwardedControl implements ControlService {
	constructor(private readonly options: ForwardedControlOptions) {}

	async configure(stated: StatedConfiguration): Promise<Result<number, MastvalveError>> {
		return this.forward<number>(ForwardedCall.Configure, stated);
	}

	async readConfiguration(): Promise<Result<StatedConfiguration | undefined, MastvalveError>> {
		const read = await this.forward<ReadConfiguration>(ForwardedCall.ReadConfiguration, {});
		return read.map(({stated}) => stated);
	}

	async report(report: EndpointReport): Promise<Result<true, MastvalveError>> {
		return this.forward<true>(ForwardedCall.Report, report);
	}

	async leave(id: string): Promise<Result<true, MastvalveError>> {
		return this.forward<true>(ForwardedCall.Leave, {id});
	}

	private async forward<T>(call: ForwardedCall, body: unknown): Promise<Result<T, MastvalveError>> {
		const addresses = this.options.listLogInstances().slice(0, maxAttempts);
		const none: Result<T, MastvalveError> = err(new ControlUnavailableError('No control instance is known that could decide.'));
		return addresses.reduce<Promise<Result<T, MastvalveError>>>(async (before, address) => {
			const result = await before;
			return result.isOk()
				? result
				: this.options.client.call<T>({
					address, path: call, body, idleTimeoutMs: callTimeoutMs,
				});
		}, Promise.resolve(none));
	}
}

/** Creates the handlers of forwarded calls on an instance that stores the log. */
export const createForwardedHandlers = (service: ControlService): Array<[string, (body: unknown) => Promise<Result<unknown, MastvalveError>>]> => [
	[ForwardedCall.Configure, async body => service.configure(assumeType<StatedConfiguration>(body))],
	[ForwardedCall.ReadConfiguration, async () => {
		const read = await service.readConfiguration();
		return read.map((stated): ReadConfiguration => ({stated}));
	}],
	[ForwardedCall.Report, async body => service.report(assumeType<EndpointReport>(body))],
	[ForwardedCall.Leave, async body => service.leave(assumeType<{id: string}>(body).id)],
];
