/**
 * Engines that report to control, end when they begin a request that says so, and start again a while later under a new
 * identity at the same address.
 */

import type {Socket} from 'node:net';
import type {EndpointReport} from 'mastvalve-fleet';
import type {FleetControl} from 'mastvalve-fleet-control';
import {waitUntil} from '../../../../features/support/conditions.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './scripted-endpoint.js';

/** A request with this in its text ends the engine that begins it. */
export const deadlyText = 'deadly';
/** Time from the begin of a request to its answer or to the end of its engine, ms. */
const runMs = 60;

type Life = {endpoint: ScriptedEndpoint; report: EndpointReport};

/** All engines of a test. */
export class CrashingEngines {
	/** How many lives have ended under a request. */
	ended = 0;
	/** How many times a deadly request was taken. */
	deadlyTaken = 0;
	private readonly lives: Life[] = [];
	private births = 0;
	private isClosing = false;

	constructor(private readonly control: FleetControl, private readonly backAfterMs: number) {}

	get count(): number {
		return this.lives.length;
	}

	/** Starts as many. */
	async start(count: number): Promise<void> {
		await Promise.all(Array.from({length: count}, async (_, index) => this.begin(index)));
	}

	/** Ends one from outside, whatever it runs. */
	crash(index: number): void {
		const life = this.lives[index]!;
		life.endpoint.close();
		setTimeout(() => {
			void this.restart(index, life);
		}, this.backAfterMs);
	}

	/** Resets all connections to all of them; they go on. */
	resetAll(): void {
		this.lives.forEach(({endpoint}) => {
			endpoint.resetConnections();
		});
	}

	/** All tell that they leave, and end then whatever they run; others come later in their places. */
	async leaveAll(): Promise<void> {
		await Promise.all(this.lives.map(async ({report}) => this.tell({...report, sequence: report.sequence + 1, isLeaving: true})));
		this.lives.forEach((_, index) => {
			this.crash(index);
		});
	}

	close(): void {
		this.isClosing = true;
		this.lives.forEach(({endpoint}) => {
			endpoint.close();
		});
	}

	private async begin(index: number, port = 0): Promise<void> {
		const life = {isOver: false};
		this.births += 1;
		const id = `engine-${index}-${this.births}`;
		const endpoint = await startScriptedEndpoint((socket, text) => {
			this.run(index, life, socket, text);
		}, port);
		const report: EndpointReport = {
			id, sequence: 1, service: 's', address: endpoint.address, failureDomain: 'a', release: '', slots: 64, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [],
		};
		this.lives[index] = {endpoint, report};
		await this.tell(report);
	}

	private run(index: number, life: {isOver: boolean}, socket: Socket, text: string): void {
		const isDeadly = text.includes(deadlyText);
		this.deadlyTaken += isDeadly ? 1 : 0;
		setTimeout(() => {
			if (isDeadly && !life.isOver) {
				life.isOver = true;
				this.ended += 1;
				this.crash(index);
			} else {
				socket.write(formatAnswer(idOf(text), 'whole'));
			}
		}, runMs);
	}

	private async restart(index: number, {endpoint}: Life): Promise<void> {
		if (!this.isClosing) {
			await this.begin(index, Number(endpoint.address.split(':')[1]));
		}
	}

	private async tell(report: EndpointReport): Promise<void> {
		await waitUntil('control has taken a report', async () => {
			const taken = await this.control.report(report);
			return taken.isOk() || this.isClosing;
		});
	}
}
