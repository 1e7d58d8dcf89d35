/**
 * Engines that report to control, crash when they run a request with a crash marker, and restart later with a new id at the same
 * address.
 */

import type {Socket} from 'node:net';
import type {EndpointReport} from 'mastvalve-fleet';
import type {FleetControl} from 'mastvalve-fleet-control';
import {systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../../features/support/conditions.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './scripted-endpoint.js';

/** A request that contains this text crashes the engine that runs it. */
export const crashingText = 'deadly';
/** Time from the start of a request to its answer or to the crash of its engine, ms. */
const runMs = 60;

type EngineProcess = {endpoint: ScriptedEndpoint; report: EndpointReport; hasEnded: boolean};

/** Runs a request at an engine; `crash` ends the engine's process. */
export type EngineRun = (socket: Socket, text: string, crash: () => void) => void;

/** Answers after a while, or crashes before it has answered anything. */
const runPlain: EngineRun = (socket, text, crash) => {
	setTimeout(() => {
		if (text.includes(crashingText)) {
			crash();
		} else {
			socket.write(formatAnswer(idOf(text), 'whole'));
		}
	}, runMs);
};

export class CrashingEngines {
	/** When engines were crashed by a request, monotonic ms. */
	readonly crashTimes: number[] = [];
	/** Crashing requests that engines accepted, and when, monotonic ms. */
	readonly crashingArrivals: Array<{text: string; at: number}> = [];
	private readonly processes: EngineProcess[] = [];
	private startCount = 0;
	private isClosing = false;

	constructor(private readonly control: FleetControl, private readonly restartAfterMs: number, private readonly runRequest: EngineRun = runPlain) {}

	/** Number of engines crashed by a request. */
	get crashed(): number {
		return this.crashTimes.length;
	}

	/** Number of crashing requests that engines accepted. */
	get crashingAccepted(): number {
		return this.crashingArrivals.length;
	}

	get count(): number {
		return this.processes.length;
	}

	async start(count: number): Promise<void> {
		await Promise.all(Array.from({length: count}, async (_, index) => this.startEngine(index)));
	}

	/** Crashes an engine externally, regardless of what it runs, unless it has ended already. */
	crash(index: number): void {
		const process = this.processes[index]!;
		if (process.hasEnded) {
			return;
		}

		process.hasEnded = true;
		process.endpoint.close();
		setTimeout(() => {
			void this.restart(index, process);
		}, this.restartAfterMs);
	}

	/** Resets all connections to all engines, which keep running. */
	resetAll(): void {
		this.processes.forEach(({endpoint}) => {
			endpoint.resetConnections();
		});
	}

	/** Lets all engines report that they are leaving and end with requests in flight; they restart later. */
	async leaveAll(): Promise<void> {
		await Promise.all(this.processes.map(async ({report}) => this.sendReport({...report, sequence: report.sequence + 1, isLeaving: true})));
		this.processes.forEach((_, index) => {
			this.crash(index);
		});
	}

	close(): void {
		this.isClosing = true;
		this.processes.forEach(({endpoint}) => {
			endpoint.close();
		});
	}

	private async startEngine(index: number, port = 0): Promise<void> {
		const state = {hasCrashed: false};
		this.startCount += 1;
		const id = `engine-${index}-${this.startCount}`;
		const endpoint = await this.listen(port, (socket, text) => {
			this.run(index, state, socket, text);
		});
		const report: EndpointReport = {
			id, sequence: 1, service: 's', address: endpoint.address, failureDomain: 'a', release: '', slots: 64, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [],
		};
		this.processes[index] = {endpoint, report, hasEnded: false};
		await this.sendReport(report);
	}

	/** Listens at a port. While an engine is down, an outgoing connection may have been given its port. */
	private async listen(port: number, script: Script): Promise<ScriptedEndpoint> {
		let endpoint: ScriptedEndpoint | undefined;
		await waitUntil(`port ${port} is free`, async () => {
			endpoint = await startScriptedEndpoint(script, port).catch(() => undefined);
			return endpoint !== undefined;
		});
		return endpoint!;
	}

	private run(index: number, state: {hasCrashed: boolean}, socket: Socket, text: string): void {
		if (text.includes(crashingText)) {
			this.crashingArrivals.push({text, at: systemClock.now()});
		}

		this.runRequest(socket, text, () => {
			if (!state.hasCrashed) {
				state.hasCrashed = true;
				this.crashTimes.push(systemClock.now());
				this.crash(index);
			}
		});
	}

	private async restart(index: number, {endpoint}: EngineProcess): Promise<void> {
		if (!this.isClosing) {
			await this.startEngine(index, Number(endpoint.address.split(':')[1]));
		}
	}

	private async sendReport(report: EndpointReport): Promise<void> {
		await waitUntil('control has accepted a report', async () => {
			const result = await this.control.report(report);
			return result.isOk() || this.isClosing;
		});
	}
}
