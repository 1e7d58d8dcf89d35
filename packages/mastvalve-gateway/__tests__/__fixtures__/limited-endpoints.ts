/**
 * Endpoints that count what they get, and say in their answers what they still take: a limit for all entries together, a backoff for
 * the entry that is refused, or that they are leaving.
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
	/** Value of `Retry-After` while it refuses everything. */
	retryAfter: string | undefined;
	isLeaving: boolean;
	/** When requests came, ms. */
	arrivals: number[];
	/** The same with what was answered. */
	answers: CountedAnswer[];
};

/** A request that came; what its answer asked for is undefined for one that was taken. */
export type CountedAnswer = {request: string; at: number; retryAfter: string | undefined; isLeaving: boolean};

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

	get indexes(): number[] {
		return this.all.map((_, index) => index);
	}

	/** When requests came to one of them since it has named its last word, ms. */
	describe(index: number): string {
		const {arrivals, namedAt} = this.all[index]!;
		return arrivals.filter(at => at >= namedAt).map(at => Math.round(at - namedAt)).join(' ');
	}

	/** The limit that one of them names, requests a second. */
	limitOf(index: number): number {
		return Number(this.all[index]!.word);
	}

	/** From now on one of them answers with this status. */
	answerWith(index: number, status: string): void {
		this.all[index]!.status = status;
	}

	/** From now on one of them refuses everything and asks for this backoff; undefined to take requests again. */
	refuse(index: number, retryAfter: string | undefined): void {
		this.all[index]!.retryAfter = retryAfter;
	}

	/** From now on one of them says in its answers that it is leaving; its heartbeats say nothing of it. */
	leave(index: number): void {
		this.all[index]!.isLeaving = true;
	}

	/** All that one of them got, with its answers. */
	listAnswers(index: number): readonly CountedAnswer[] {
		return this.all[index]!.answers;
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
			const at = systemClock.now();
			const {retryAfter, isLeaving} = limited;
			limited.arrivals.push(at);
			limited.answers.push({
				request: idOf(text), at, retryAfter, isLeaving,
			});
			if (retryAfter !== undefined) {
				socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable', `x-not-run: 1\r\nretry-after: ${retryAfter}\r\n`));
				return;
			}

			const leaving = isLeaving ? 'x-leaving: 1\r\n' : '';
			const limit = limited.word === undefined ? '' : `x-limit: ${limited.word}\r\n`;
			setTimeout(() => {
				socket.write(formatAnswer(idOf(text), 'whole', limited.status, leaving + limit));
			}, runMs);
		});
		this.all[index] = {
			endpoint, word: undefined, status: '200 OK', namedAt: 0, retryAfter: undefined, isLeaving: false, arrivals: [], answers: [],
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
