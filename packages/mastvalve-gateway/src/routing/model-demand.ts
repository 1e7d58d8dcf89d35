/**
 * Tracks the models and adapters that callers request from this entry, and those that no endpoint holds, for reports to control.
 */

import type {DemandReport, PendingDemand} from 'mastvalve-fleet-control';
import type {FirstByteTimes} from './first-byte-times.js';

type Waiting = {service: string; model: string; adapter: string | undefined; deadlines: number[]};

/** Formats a model and an optional adapter as `model/adapter`. */
export const formatModel = (model: string, adapter: string | undefined): string => (adapter === undefined ? model : `${model}/${adapter}`);

/** Demand of one entry. */
export class ModelDemand {
	private requests: Record<string, number> = {};
	private urgent: Record<string, number> = {};
	private suspects = new Set<string>();
	private notListening = new Set<string>();
	private leaving = new Set<string>();
	private readonly waiting = new Map<string, Waiting>();

	constructor(private readonly entry: string, private readonly now: () => number, private readonly onReportDue: () => void, private readonly firstByteTimes: FirstByteTimes) {}

	/** Counts a request; `canWaitForLoad` is false when its deadline doesn't allow for loading a model. */
	recordRequest(model: string, adapter: string | undefined, canWaitForLoad: boolean): void {
		const name = formatModel(model, adapter);
		this.requests[name] = (this.requests[name] ?? 0) + 1;
		if (!canWaitForLoad) {
			this.urgent[model] = (this.urgent[model] ?? 0) + 1;
		}
	}

	/** Records that an endpoint refused a request for a model or adapter that it was expected to hold. */
	recordMisdirected(endpointId: string): void {
		this.suspects.add(endpointId);
		this.onReportDue();
	}

	/** Records that no process listens at the address of an endpoint. */
	recordNotListening(endpointId: string): void {
		if (!this.notListening.has(endpointId)) {
			this.notListening.add(endpointId);
			this.onReportDue();
		}
	}

	/** Records that an endpoint announced in a response that it is leaving. */
	recordLeaving(endpointId: string): void {
		if (!this.leaving.has(endpointId)) {
			this.leaving.add(endpointId);
			this.onReportDue();
		}
	}

	/** Drops leaving endpoints that control already knows to be leaving. */
	retainLeaving(isUnknownToControl: (id: string) => boolean): void {
		this.leaving = new Set([...this.leaving].filter(id => isUnknownToControl(id)));
	}

	/** Registers a request that waits for a model or adapter that no endpoint holds; the returned function removes it. */
	beginWait(service: string, model: string, adapter: string | undefined, deadlineAt: number): () => void {
		const key = `${service} ${formatModel(model, adapter)}`;
		const waiting = this.waiting.get(key) ?? {
			service, model, adapter, deadlines: [],
		};
		this.waiting.set(key, waiting);
		waiting.deadlines.push(deadlineAt);
		if (waiting.deadlines.length === 1) {
			this.onReportDue();
		}

		return () => {
			waiting.deadlines.splice(waiting.deadlines.indexOf(deadlineAt), 1);
			if (waiting.deadlines.length === 0) {
				this.waiting.delete(key);
			}
		};
	}

	/** Returns the demand since the last call and resets the counters. */
	takeReport(): DemandReport {
		const {requests, urgent, suspects, notListening} = this;
		this.requests = {};
		this.urgent = {};
		this.suspects = new Set();
		this.notListening = new Set();
		const now = this.now();
		return {
			entry: this.entry,
			requests,
			urgent,
			headMs: this.firstByteTimes.list(),
			suspects: [...suspects],
			absent: [...notListening],
			leaving: [...this.leaving],
			wanted: [...this.waiting.values()].map(({service, model, adapter, deadlines}): PendingDemand => ({
				service, model, adapter, waiting: deadlines.length, remainingMs: Math.round(Math.min(...deadlines) - now),
			})),
		};
	}
}
