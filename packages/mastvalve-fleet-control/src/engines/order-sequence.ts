/**
 * The sequence of orders to one engine, one after another.
 *
 * Every order names the count of orders that the engine has taken so far. An order without an answer may still be
 * carried out later, so it is sent again with the same count until an answer comes: whichever copy is taken first, the
 * others are void. When it is given up before that, a copy may still come; this is remembered.
 */

import {EngineOrderKind, type EngineOrder, type FleetEndpoint} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import {OrderOutcome, type EnginePort, type EngineStatus} from './engine-port.js';

/** What a sequence is made from. */
export type OrderSequenceOptions = {
	id: string;
	port: EnginePort;
	clock: Clock;
	/** Waits so many ms. */
	wait: (ms: number) => Promise<void>;
	holder: string;
	/** Since when nobody else can have sent an order, monotonic ms. */
	soleHolderSince: number;
	/** The fencing token at this moment; undefined when this instance may not give orders. */
	readFence: () => number | undefined;
	/** The endpoint as the log has it. */
	readEndpoint: () => FleetEndpoint | undefined;
	onEvent: (kind: string, detail: string) => void;
};

/** What came of an order. */
export enum OrderEffect {
	/** It was refused, or never sent. */
	None = 'none',
	/** It was given up without an answer, and may have been taken or may be later. */
	Unknown = 'unknown',
	/** It was taken and takes time. */
	UnderWay = 'under-way',
	/** It is in force. */
	Done = 'done',
}

/** Pause before an unanswered order is sent again, ms. */
const resendPauseMs = 250;
/** Pause after a refused order, so that a wrong belief costs few orders, ms. */
const refusedPauseMs = 100;
/** What an engine says of itself is up to some hundred ms old, ms. */
const statusAgeMs = 500;
/** An unanswered order that was not carried out in this time never will be, ms: late ones came 2 to 12 s late. */
export const maxOrderDelayMs = 13_000;

/** The sequence. */
export class OrderSequence {
	/** Orders taken; undefined when it must be read first. */
	private count: number | undefined;
	/**
	 * Until when an order that nobody follows may still be carried out, ms. It ends once another one was taken, or when the engine's
	 * state was read behind that time: that the time is over says nothing of whether the order was carried out.
	 */
	private lateOrderUntil: number | undefined;
	/** When the last order was sent that is known of, ms. */
	private lastOrderAt: number;

	constructor(private readonly options: OrderSequenceOptions) {
		this.lastOrderAt = options.soleHolderSince;
	}

	/** Whether the count is known, so that orders can be given. */
	get isCountKnown(): boolean {
		return this.count !== undefined;
	}

	/** Whether an order that nobody follows may still be carried out, or has been without anybody's knowledge. */
	get hasLateOrder(): boolean {
		return this.lateOrderUntil !== undefined;
	}

	/** Whether the engine's state must be read to learn what came of a late order. */
	get isStatusDue(): boolean {
		return this.lateOrderUntil !== undefined && this.options.clock.now() >= this.lateOrderUntil;
	}

	/** The count must be read again before the next order. */
	invalidateCount(): void {
		this.count = undefined;
	}

	/** The count was read, with a state that is newer than the last order. */
	setCount(count: number): void {
		this.count = count;
		if (this.isStatusDue) {
			this.lateOrderUntil = undefined;
		}
	}

	/** A copy of an order may still be carried out. */
	expectLateOrder(): void {
		this.lateOrderUntil = this.options.clock.now() + maxOrderDelayMs;
	}

	/** Reads the engine's state, not older than the last order. */
	async readStatus(): Promise<EngineStatus | undefined> {
		const {id, port, clock, wait, readEndpoint} = this.options;
		const isOldUntil = this.lastOrderAt + statusAgeMs;
		if (clock.now() < isOldUntil) {
			await wait(isOldUntil - clock.now());
		}

		const endpoint = readEndpoint();
		return endpoint && port.readStatus(id, endpoint.address);
	}

	/** Gives one order until it is answered. */
	async send(order: EngineOrder): Promise<OrderEffect> {
		const {effect, isAnswered} = await this.sendUntilAnswered(order);
		if (isAnswered) {
			return effect;
		}

		this.expectLateOrder();
		return OrderEffect.Unknown;
	}

	/** An order was counted. A count that was forgotten meanwhile stays unknown: an order without a count could come late at any time. */
	private advance(expectedCount: number): void {
		this.count = this.count === undefined ? undefined : expectedCount + 1;
	}

	private async sendUntilAnswered(order: EngineOrder): Promise<{effect: OrderEffect; isAnswered: boolean}> {
		const {id, port, holder, readFence, readEndpoint, onEvent} = this.options;
		const what = `${order.kind} ${order.model}${order.adapter === undefined ? '' : `/${order.adapter}`} at ${id}`;
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
			onEvent('order.sent', `${what}, count ${expectedCount}: ${outcome}`);
			switch (outcome) {
				case OrderOutcome.Accepted: {
					this.advance(expectedCount);
					this.lateOrderUntil = undefined;
					return {effect: OrderEffect.UnderWay, isAnswered: true};
				}

				case OrderOutcome.InForce: {
					// Whether it was counted differs by order; the count is read again before the next one.
					if (order.kind === EngineOrderKind.Unload && order.adapter !== undefined) {
						this.advance(expectedCount);
						// It was counted, so a copy of an earlier order is void.
						this.lateOrderUntil = undefined;
					} else {
						this.count = undefined;
					}

					return {effect: OrderEffect.Done, isAnswered: true};
				}

				case OrderOutcome.Unanswered: {
					isAnswered = false;
					// eslint-disable-next-line no-await-in-loop
					await this.options.wait(resendPauseMs);
					break;
				}

				case OrderOutcome.Conflict:
				case OrderOutcome.Fenced:
				case OrderOutcome.Absent:
				case OrderOutcome.Invalid: {
					this.count = undefined;
					// eslint-disable-next-line no-await-in-loop
					await this.options.wait(refusedPauseMs);
					return {effect: OrderEffect.None, isAnswered};
				}
			}
		}

		return {effect: OrderEffect.None, isAnswered};
	}
}
