/**
 * Endpoints that record their requests, and report in their answers a limit for all entries together, a backoff for the refused entry,
 * or that they are leaving.
 */

import type {EndpointReport} from 'mastvalve-fleet';
import type {FleetControl} from 'mastvalve-fleet-control';
import {systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../../features/support/conditions.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './scripted-endpoint.js';

/** Time from the start of a request to its answer, ms. */
const answerDelayMs = 20;

type LimitedEndpoint = {
	endpoint: ScriptedEndpoint;
	/** Value of the limit header; undefined without a limit. */
	limitHeader: string | undefined;
	/** Status line of the answers. */
	status: string;
	/** Time when the limit was last set, ms. */
	limitSetAt: number;
	/** Value of `Retry-After` while all requests are refused; undefined otherwise. */
	retryAfter: string | undefined;
	isLeaving: boolean;
	/** Arrival times of requests, ms. */
	arrivals: number[];
	answers: RecordedAnswer[];
};

/** A received request with its answer; `retryAfter` is undefined unless the request was refused. */
export type RecordedAnswer = {request: string; at: number; retryAfter: string | undefined; isLeaving: boolean};

/** All limited endpoints of a test. */
export class LimitedEndpoints {
	private readonly all: LimitedEndpoint[] = [];

	constructor(private readonly control: FleetControl) {}

	/** Starts endpoints that report to control. */
	async start(count: number): Promise<void> {
		await Promise.all(Array.from({length: count}, async (_, index) => this.startEndpoint(index)));
	}

	/** Sets the limit that an endpoint reports; undefined for none. */
	setLimitHeader(index: number, limitHeader: string | undefined): void {
		const limited = this.all[index]!;
		limited.limitHeader = limitHeader;
		limited.limitSetAt = systemClock.now();
	}

	get indexes(): number[] {
		return this.all.map((_, index) => index);
	}

	/** Arrival times of an endpoint's requests since its limit was last set, ms after that. */
	formatArrivals(index: number): string {
		const {arrivals, limitSetAt} = this.all[index]!;
		return arrivals.filter(at => at >= limitSetAt).map(at => Math.round(at - limitSetAt)).join(' ');
	}

	/** Limit that an endpoint reports, requests per second. */
	getLimit(index: number): number {
		return Number(this.all[index]!.limitHeader);
	}

	/** Sets the status line of an endpoint's answers. */
	setStatus(index: number, status: string): void {
		this.all[index]!.status = status;
	}

	/** Lets an endpoint refuse all requests with this `Retry-After`; undefined to accept requests again. */
	setRetryAfter(index: number, retryAfter: string | undefined): void {
		this.all[index]!.retryAfter = retryAfter;
	}

	/** Lets an endpoint report in its answers, but not in its heartbeats, that it is leaving. */
	startLeaving(index: number): void {
		this.all[index]!.isLeaving = true;
	}

	listAnswers(index: number): readonly RecordedAnswer[] {
		return this.all[index]!.answers;
	}

	/** Number of requests to an endpoint since `fromMs` after its limit was last set. */
	countSince(index: number, fromMs = 0): number {
		const {arrivals, limitSetAt} = this.all[index]!;
		return arrivals.filter(at => at >= limitSetAt + fromMs).length;
	}

	/** Maximum number of requests to an endpoint within `spanMs`, from `afterMs` after its limit was last set. */
	countMaxWithin(index: number, spanMs: number, afterMs: number): number {
		const {arrivals, limitSetAt} = this.all[index]!;
		const counted = arrivals.filter(at => at >= limitSetAt + afterMs);
		return Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at <= from + spanMs).length));
	}

	close(): void {
		this.all.forEach(({endpoint}) => {
			endpoint.close();
		});
	}

	private async startEndpoint(index: number): Promise<void> {
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
			const limit = limited.limitHeader === undefined ? '' : `x-limit: ${limited.limitHeader}\r\n`;
			setTimeout(() => {
				socket.write(formatAnswer(idOf(text), 'whole', limited.status, leaving + limit));
			}, answerDelayMs);
		});
		this.all[index] = {
			endpoint, limitHeader: undefined, status: '200 OK', limitSetAt: 0, retryAfter: undefined, isLeaving: false, arrivals: [], answers: [],
		};
		const report: EndpointReport = {
			id: `endpoint-${index}`,
			sequence: 1,
			service: 's',
			address: endpoint.address,
			failureDomain: 'a',
			release: '',
			slots: 64,
			isLeaving: false,
			remainingMs: undefined,
			holds: [],
			inMemory: [],
			onDisk: [],
		};
		await waitUntil('control has accepted a report', async () => {
			const result = await this.control.report(report);
			return result.isOk();
		});
	}
}
