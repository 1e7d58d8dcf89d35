/**
 * Asks the leader which engine a request is sent to, and reports what becomes of it. Claims and events that arise while a call is in
 * flight are sent with the next one. While no leader answers, the entry chooses by itself; the leader learns of such runs afterwards.
 */

import type {PeerClient} from 'mastvalve-cluster';
import {
	DispatchDecisionKind, type DispatchClaim, type DispatchDecision,
} from 'mastvalve-dispatch';
import type {DispatchResponse} from 'mastvalve-fleet-control';
import {CallTimer} from './call-timer.js';
import {
	formatBatch, type DispatchBatch, type PendingClaim,
} from './dispatch-batch.js';
import type {DispatchRun} from './dispatch-run.js';
import {RunReports} from './run-reports.js';

export type DispatchClientOptions = {
	/** Name of this incarnation of the entry. */
	entry: string;
	client: Pick<PeerClient, 'call'>;
	readLeader: () => string | undefined;
	/** Monotonic clock, ms. */
	now: () => number;
	/** Waits for a time in ms, or until the signal aborts. */
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	/** Aborts when the entry stops. */
	signal: AbortSignal;
	onEvent: (kind: string, detail: string) => void;
	/** Whether the leader chooses for all services with engines; otherwise for those whose endpoints report how fast they work. */
	isAlwaysActive: boolean;
};

/** A leader is unreachable after this long without a byte, ms; callers wait meanwhile. */
const silenceTimeoutMs = 150;
/** A call that fails within this time used a kept connection that the leader had closed, ms; calls to an unreachable one take longer. */
const closedConnectionMs = 50;
/** Pause between probes for a leader while none answers, ms. */
const leaderProbeIntervalMs = 100;
/** Longest time for which an event waits for a claim to be sent with, ms; short compared to the time to read a prompt, some hundred ms. */
const eventDelayMs = 15;
/** Interval of calls while requests are queued at the leader, ms. */
const queuePollMs = 20;
/** Interval of calls while runs are in progress, ms: the leader drops the runs of a silent entry. */
const contactIntervalMs = 1000;

export class DispatchClient {
	/** Whether no leader answers. */
	isDisconnected = false;
	private claims: PendingClaim[] = [];
	private readonly waiting = new Map<string, PendingClaim>();
	private readonly sharedMachineServices = new Set<string>();
	private isCalling = false;
	private claimCount = 0;
	private readonly timer: CallTimer;
	private readonly reports: RunReports;

	constructor(private readonly options: DispatchClientOptions) {
		const {now, signal} = options;
		this.timer = new CallTimer({
			now, signal, onDue: () => {
				void this.sendPending(true);
			},
		});
		this.reports = new RunReports(now, () => {
			this.timer.schedule(eventDelayMs);
		});
	}

	/** Whether the endpoints of a service share their machines with other work, so that the leader chooses among them. */
	isActive(service: string): boolean {
		return this.options.isAlwaysActive || this.sharedMachineServices.has(service);
	}

	/** Records that an endpoint of a service reports how fast it works. */
	recordShared(service: string): void {
		this.sharedMachineServices.add(service);
	}

	/** Creates the id of a claim. Request ids would not be unique: several callers may use the same one, and each attempt has its own claim. */
	createClaimId(): string {
		this.claimCount += 1;
		return `${this.options.entry} ${this.claimCount}`;
	}

	/** Claims an engine; resolves to undefined when the entry has to choose by itself. Calls `onQueued` when the claim waits at the leader. */
	async claim(claim: DispatchClaim, signal: AbortSignal, onQueued: () => void = () => undefined): Promise<DispatchDecision | undefined> {
		if (this.isDisconnected || signal.aborted) {
			return undefined;
		}

		return new Promise(resolve => {
			const onAbort = (): void => {
				this.cancel(claim.id);
			};

			const pending: PendingClaim = {
				claim,
				claimedAt: this.options.now(),
				resolve(decision) {
					signal.removeEventListener('abort', onAbort);
					resolve(decision);
				},
				onQueued,
			};
			this.waiting.set(claim.id, pending);
			signal.addEventListener('abort', onAbort, {once: true});
			this.claims.push(pending);
			void this.sendPending();
		});
	}

	/** Reports that an assigned engine is not used. */
	release(id: string): void {
		this.reports.release(id);
	}

	/** Counts a request that is sent to an engine. */
	beginRun(claim: DispatchClaim, endpoint: string, isAssigned: boolean): DispatchRun {
		return this.reports.beginRun(claim, endpoint, isAssigned && !this.isDisconnected);
	}

	/** Ends the wait of a claim whose caller has left. */
	private cancel(id: string): void {
		const pending = this.waiting.get(id);
		if (pending) {
			this.waiting.delete(id);
			this.claims = this.claims.filter(({claim}) => claim.id !== id);
			this.release(id);
			pending.resolve(undefined);
		}
	}

	private async sendPending(isDue = false): Promise<void> {
		if (this.isCalling || this.isDisconnected) {
			return;
		}

		this.isCalling = true;
		let mustCall = isDue;
		while ((mustCall || this.claims.length > 0) && !this.isDisconnected) {
			mustCall = false;
			// Calls are sequential.
			// eslint-disable-next-line no-await-in-loop
			await this.sendBatch();
		}

		this.isCalling = false;
		if (!this.isDisconnected) {
			this.scheduleNext();
		}
	}

	/** Schedules the next call, with what has arisen during the last one. */
	private scheduleNext(): void {
		if (this.reports.isPending) {
			this.timer.schedule(eventDelayMs);
		} else if (this.waiting.size > 0) {
			this.timer.schedule(queuePollMs);
		} else if (this.reports.hasRuns) {
			this.timer.schedule(contactIntervalMs);
		}
	}

	private async sendBatch(): Promise<void> {
		const {claims} = this;
		this.claims = [];
		const response = await this.send({claims, ...this.reports.take(), isWhole: false});
		if (response) {
			this.settleAll(response.decisions);
		} else {
			this.disconnect();
		}
	}

	/** Calls the leader, again if it had closed the connection; undefined when no leader answers. */
	private async send(batch: DispatchBatch): Promise<DispatchResponse | undefined> {
		const startedAt = this.options.now();
		const first = await this.call(batch);
		const isConnectionClosed = first === undefined && this.options.now() - startedAt < closedConnectionMs;
		// Decisions on earlier claims may have been lost with the connection.
		const response = isConnectionClosed ? await this.call({...batch, claims: this.takeWaiting()}) : first;
		return response?.needsRunning ? this.sendAllRuns() : response;
	}

	/** Reports all runs in progress to the leader, and repeats the claims that wait. */
	private async sendAllRuns(): Promise<DispatchResponse | undefined> {
		return this.call({
			claims: this.takeWaiting(), events: [], running: this.reports.takeAll(), isWhole: true,
		});
	}

	private takeWaiting(): PendingClaim[] {
		this.claims = [];
		return [...this.waiting.values()];
	}

	/** Settles claims. Of several decisions on one claim the last counts. */
	private settleAll(decisions: readonly DispatchDecision[]): void {
		new Map(decisions.map(decision => [decision.id, decision])).forEach(decision => {
			this.settle(decision);
		});
	}

	private settle(decision: DispatchDecision): void {
		const pending = this.waiting.get(decision.id);
		if (decision.kind === DispatchDecisionKind.Queued) {
			pending?.onQueued();
			return;
		}

		this.waiting.delete(decision.id);
		if (pending) {
			pending.resolve(decision);
		} else if (decision.kind === DispatchDecisionKind.Assigned) {
			this.release(decision.id);
		}
	}

	private async call(batch: DispatchBatch): Promise<DispatchResponse | undefined> {
		const {client, entry, readLeader, now, signal} = this.options;
		const address = readLeader();
		if (address === undefined) {
			return undefined;
		}

		const response = await client.call<DispatchResponse>({
			address, path: '/dispatch', body: formatBatch(entry, batch, now()), idleTimeoutMs: silenceTimeoutMs, signal,
		});
		return response.isOk() ? response.value : undefined;
	}

	/** Lets the entry choose for all waiting requests, and probes for a leader. */
	private disconnect(): void {
		this.isDisconnected = true;
		this.claims = [];
		this.reports.markAllUnreported();
		const pending = [...this.waiting.values()];
		this.waiting.clear();
		pending.forEach(({resolve}) => {
			resolve(undefined);
		});
		this.options.onEvent('dispatch.disconnected', 'no leader answers; this entry chooses engines by itself');
		void this.findLeader();
	}

	private async findLeader(): Promise<void> {
		const {signal, wait, onEvent} = this.options;
		while (this.isDisconnected && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const response = await this.sendAllRuns();
			if (response) {
				this.isDisconnected = false;
				onEvent('dispatch.regained', 'a leader chooses engines again');
				this.scheduleNext();
			} else {
				this.reports.markAllUnreported();
				// eslint-disable-next-line no-await-in-loop
				await wait(leaderProbeIntervalMs, signal);
			}
		}
	}
}
