/**
 * Sends orders to one engine, one at a time.
 *
 * Every order carries the number of orders that the engine has accepted so far. An unanswered order may still be executed
 * later, so it is resent with the same count until a response arrives: once one copy is accepted, the engine refuses the
 * others. If resending is abandoned before that, a copy may still arrive late; the sequence keeps track of this.
 */

import {EngineOrderKind, type EngineOrder, type FleetEndpoint} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import {OrderOutcome, type EnginePort, type EngineStatus} from './engine-port.js';

export type OrderSequenceOptions = {
	id: string;
	port: EnginePort;
	clock: Clock;
	/** Resolves after the given time, ms. */
	wait: (ms: number) => Promise<void>;
	holder: string;
	/** Time from which no other instance can have sent an order, monotonic ms. */
	soleHolderSince: number;
	/** Returns the current fencing token; undefined while this instance may not send orders. */
	readFence: () => number | undefined;
	/** Returns the endpoint as recorded in the log. */
	readEndpoint: () => FleetEndpoint | undefined;
	onEvent: (kind: string, detail: string) => void;
};

/** Effect of an order. */
export enum OrderEffect {
	/** The order was refused, or never sent. */
	None = 'none',
	/** Abandoned without a response; the order may have been accepted, or may still be. */
	Unknown = 'unknown',
	/** The order was accepted and is being executed. */
	InProgress = 'under-way',
	/** The requested state is in force. */
	Done = 'done',
}

/** Delay before an unanswered order is resent, ms. */
const resendDelayMs = 250;
/** Delay after a refused order, ms; limits the orders wasted while the recorded state of the engine is wrong. */
const refusedDelayMs = 100;
/** Maximum age of the status that an engine reports, ms; it can lag by a few hundred ms. */
const maxStatusAgeMs = 500;
/** Time after which an unanswered order can no longer be executed, ms; late orders were executed 2 to 12 s late. */
export const maxOrderDelayMs = 13_000;

export class OrderSequence {
	/** Number of accepted orders; undefined until it is read from the engine. */
	private count: number | undefined;
	/**
	 * Time until which an abandoned order may still be executed, ms. Cleared when another order is accepted, or when the
	 * engine's state is read after that time: the elapsed time alone does not show whether the order was executed.
	 */
	private lateOrderUntil: number | undefined;
	/** Time at which the last known order was sent, ms. */
	private lastOrderAt: number;

	constructor(private readonly options: OrderSequenceOptions) {
		this.lastOrderAt = options.soleHolderSince;
	}

	/** Whether the order count is known, so that orders can be sent. */
	get isCountKnown(): boolean {
		return this.count !== undefined;
	}

	/** Whether an abandoned order may still be executed, or may have been executed unnoticed. */
	get hasUnresolvedOrder(): boolean {
		return this.lateOrderUntil !== undefined;
	}

	/** Whether the engine's state must be read to determine if a late order was executed. */
	get isStatusDue(): boolean {
		return this.lateOrderUntil !== undefined && this.options.clock.now() >= this.lateOrderUntil;
	}

	/** Requires the order count to be read again before the next order. */
	invalidateCount(): void {
		this.count = undefined;
	}

	/** Sets the order count, read together with a state newer than the last order. */
	setCount(count: number): void {
		this.count = count;
		if (this.isStatusDue) {
			this.lateOrderUntil = undefined;
		}
	}

	/** Notes that a copy of an order may still be executed. */
	expectLateOrder(): void {
		this.lateOrderUntil = this.options.clock.now() + maxOrderDelayMs;
	}

	/** Reads a state of the engine that is not older than the last order; waits until that is certain. */
	async readStatus(): Promise<EngineStatus | undefined> {
		const {id, port, clock, wait, readEndpoint} = this.options;
		const staleUntil = this.lastOrderAt + maxStatusAgeMs;
		if (clock.now() < staleUntil) {
			await wait(staleUntil - clock.now());
		}

		const endpoint = readEndpoint();
		return endpoint && port.readStatus(id, endpoint.address);
	}

	/** Sends one order, and resends it until it is answered or this instance may no longer send orders. */
	async send(order: EngineOrder): Promise<OrderEffect> {
		const {effect, isAnswered} = await this.sendUntilAnswered(order);
		if (isAnswered) {
			return effect;
		}

		this.expectLateOrder();
		return OrderEffect.Unknown;
	}

	/** Counts an accepted order. A count invalidated in the meantime stays unknown: an order sent without a count could be executed late at any time. */
	private incrementCount(expectedCount: number): void {
		this.count = this.count === undefined ? undefined : expectedCount + 1;
	}

	private async sendUntilAnswered(order: EngineOrder): Promise<{effect: OrderEffect; isAnswered: boolean}> {
		const {id, port, holder, readFence, readEndpoint, onEvent} = this.options;
		const description = `${order.kind} ${order.model}${order.adapter === undefined ? '' : `/${order.adapter}`} at ${id}`;
		let isAnswered = true;
		while (this.count !== undefined) {
			const endpoint = readEndpoint();
			const fence = readFence();
			if (!endpoint || fence === undefined) {
				return {effect: OrderEffect.None, isAnswered};
			}

			const expectedCount = this.count;
			// eslint-disable-next-line no-await-in-loop
			const outcome = await port.sendOrder({
				endpointId: id, address: endpoint.address, order, expectedCount, holder, fence,
			});
			this.lastOrderAt = this.options.clock.now();
			onEvent('order.sent', `${description}, count ${expectedCount}: ${outcome}`);
			switch (outcome) {
				case OrderOutcome.Accepted: {
					this.incrementCount(expectedCount);
					this.lateOrderUntil = undefined;
					return {effect: OrderEffect.InProgress, isAnswered: true};
				}

				case OrderOutcome.InForce: {
					// Whether the engine counted the order depends on its kind; otherwise the count is read again before the next order.
					if (order.kind === EngineOrderKind.Unload && order.adapter !== undefined) {
						this.incrementCount(expectedCount);
						// The order was counted, so the engine refuses copies of earlier orders.
						this.lateOrderUntil = undefined;
					} else {
						this.count = undefined;
					}

					return {effect: OrderEffect.Done, isAnswered: true};
				}

				case OrderOutcome.Unanswered: {
					isAnswered = false;
					// eslint-disable-next-line no-await-in-loop
					await this.options.wait(resendDelayMs);
					break;
				}

				case OrderOutcome.Conflict:
				case OrderOutcome.Fenced:
				case OrderOutcome.Absent:
				case OrderOutcome.Invalid: {
					this.count = undefined;
					// eslint-disable-next-line no-await-in-loop
					await this.options.wait(refusedDelayMs);
					return {effect: OrderEffect.None, isAnswered};
				}
			}
		}

		return {effect: OrderEffect.None, isAnswered};
	}
}
