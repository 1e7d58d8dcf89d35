/**
 * Endpoints that count what they get, and name in their answers the requests a second that they take from all entries together.
 */

import type {EndpointReport} from 'mastvalve-fleet';
import type {FleetControl} from 'mastvalve-fleet-control';
import {systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../../features/support/conditions.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './scripted-endpoint.js';

/** Time from the begin of a request to its answer, ms. */
const runMs = 20;

type LimitedEndpoint = {
	endpoint: ScriptedEndpoint;
	/** Value of the field; undefined while it names none. */
	word: string | undefined;
	/** What it answers. */
	status: string;
	/** Since when it names one, ms. */
	namedAt: number;
	/** When requests came, ms. */
	arrivals: number[];
};

/** All endpoints of a test. */
export class LimitedEndpoints {
	private readonly all: LimitedEndpoint[] = [];

	constructor(private readonly control: FleetControl) {}

	/** Starts as many; they report to control. */
	async start(count: number): Promise<void> {
		await Promise.all(Array.from({length: count}, async (_, index) => this.begin(index)));
	}

	/** From now on one of them names this in its answers. */
	name(index: number, word: string | undefined): void {
		const limited = this.all[index]!;
		limited.word = word;
		limited.namedAt = systemClock.now();
	}

	/** From now on one of them answers with this status. */
	answerWith(index: number, status: string): void {
		this.all[index]!.status = status;
	}

	/** How many requests one of them got since it has named its last word. */
	countSince(index: number, fromMs = 0): number {
		const {arrivals, namedAt} = this.all[index]!;
		return arrivals.filter(at => at >= namedAt + fromMs).length;
	}

	/** The most requests that one of them got within `spanMs`, from `afterMs` after it has named its last word. */
	countMost(index: number, spanMs: number, afterMs: number): number {
		const {arrivals, namedAt} = this.all[index]!;
		const counted = arrivals.filter(at => at >= namedAt + afterMs);
		return Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at <= from + spanMs).length));
	}

	close(): void {
		this.all.forEach(({endpoint}) => {
			endpoint.close();
		});
	}

	private async begin(index: number): Promise<void> {
		const endpoint = await startScriptedEndpoint((socket, text) => {
			const limited = this.all[index]!;
			limited.arrivals.push(systemClock.now());
			setTimeout(() => {
				socket.write(formatAnswer(idOf(text), 'whole', limited.status, limited.word === undefined ? '' : `x-limit: ${limited.word}\r\n`));
			}, runMs);
		});
		this.all[index] = {
			endpoint, word: undefined, status: '200 OK', namedAt: 0, arrivals: [],
		};
		const report: EndpointReport = {
			id: `endpoint-${index}`, sequence: 1, service: 's', address: endpoint.address, failureDomain: 'a', release: '', slots: 64, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [],
		};
		await waitUntil('control has taken a report', async () => {
			const taken = await this.control.report(report);
			return taken.isOk();
		});
	}
}
