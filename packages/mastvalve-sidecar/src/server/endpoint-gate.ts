/**
 * The gate of one endpoint: every request passes admission here before anything is handed to the endpoint.
 */

import {AdmissionDecision, AdmissionQueue, type AdmissionRequest} from 'mastvalve-routing';
import {MastvalveError, Outcome, RefusedError} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** Options of a gate. */
export type EndpointGateOptions = {
	clock: Clock;
	maxRunning: number;
	maxQueued: number;
	/** Whether requests for a model may run now; undefined stands for plain services. */
	isReady: (model: string | undefined) => boolean;
};

const agingMs = 2000;
const initialServiceMs = 300;
const millisPerSecond = 1000;

type Waiter = (result: Result<true, MastvalveError>) => void;

/** The gate. */
export class EndpointGate {
	readonly queue: AdmissionQueue;
	private readonly waiters = new Map<string, Waiter>();
	private readonly modelsInUse = new Map<string, {running: Set<string>; lastUsedAt: number}>();
	private whenIdle: (() => void) | undefined;

	constructor(private readonly options: EndpointGateOptions) {
		this.queue = new AdmissionQueue({
			maxRunning: options.maxRunning, maxQueued: options.maxQueued, agingMs, initialServiceMs,
		});
	}

	isBusy(model: string): boolean {
		return (this.modelsInUse.get(model)?.running.size ?? 0) > 0;
	}

	lastUsedAt(model: string): number {
		return this.modelsInUse.get(model)?.lastUsedAt ?? 0;
	}

	/** Waits for admission; refused as not run when it can't be had before the deadline. */
	async enter(request: AdmissionRequest, signal: AbortSignal): Promise<Result<true, MastvalveError>> {
		const now = this.options.clock.now();
		const answer = this.queue.offer(request, now, this.options.isReady(request.model));
		if (answer.displaced) {
			this.settle(answer.displaced.id, err(this.createRefusal('A more urgent request took its place in the queue.')));
		}

		if (answer.decision === AdmissionDecision.Refused) {
			return err(this.createRefusal('The endpoint can\'t start it before its deadline.', answer.retryAfterMs));
		}

		if (answer.decision === AdmissionDecision.Queued) {
			const result = await this.wait(request, signal);
			if (result.isErr()) {
				return result;
			}
		}

		this.use(request);
		return ok(true);
	}

	/** A request that had entered has ended. */
	leave(request: AdmissionRequest): void {
		const now = this.options.clock.now();
		this.queue.finish(request.id, now);
		if (request.model !== undefined) {
			const use = this.modelsInUse.get(request.model);
			use?.running.delete(request.id);
		}

		this.advance();
	}

	/** Starts and gives up what can be; called whenever time, room or readiness changed. */
	advance(): void {
		const now = this.options.clock.now();
		this.queue.removeExpired(now).forEach(request => {
			this.settle(request.id, err(this.createRefusal('Its deadline passed while it waited.')));
		});
		this.queue.dequeueReady(now, this.options.isReady).forEach(request => {
			this.settle(request.id, ok(true));
		});
		if (this.queue.runningCount === 0 && this.queue.queuedCount === 0) {
			this.whenIdle?.();
		}
	}

	/** Waits until nothing runs and nothing waits. */
	async waitUntilIdle(): Promise<void> {
		return new Promise(resolve => {
			this.whenIdle = resolve;
			this.advance();
		});
	}

	private async wait(request: AdmissionRequest, signal: AbortSignal): Promise<Result<true, MastvalveError>> {
		return new Promise(resolve => {
			const onAbort = () => {
				this.queue.remove(request.id);
				this.settle(request.id, err(new MastvalveError('caller-left', 'The caller hung up while it waited.', {status: 499, outcome: Outcome.NotRun})));
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.waiters.set(request.id, result => {
				signal.removeEventListener('abort', onAbort);
				resolve(result);
			});
		});
	}

	private settle(id: string, result: Result<true, MastvalveError>): void {
		const waiter = this.waiters.get(id);
		this.waiters.delete(id);
		waiter?.(result);
	}

	private use(request: AdmissionRequest): void {
		if (request.model !== undefined) {
			const use = this.modelsInUse.get(request.model) ?? {running: new Set<string>(), lastUsedAt: 0};
			use.running.add(request.id);
			use.lastUsedAt = this.options.clock.now();
			this.modelsInUse.set(request.model, use);
		}
	}

	private createRefusal(message: string, retryAfterMs = this.queue.estimateRetryAfterMs()): RefusedError {
		return new RefusedError(message, retryAfterMs / millisPerSecond);
	}
}
