/**
 * Which models and adapters callers ask this entry for, and which of them no endpoint holds. Control learns of it.
 */

import type {DemandReport, PendingDemand} from 'mastvalve-fleet-control';
import type {HeadTimes} from './head-times.js';

type Waiting = {service: string; model: string; adapter: string | undefined; deadlines: number[]};

/** A model with an adapter, in one text. */
export const formatModel = (model: string, adapter: string | undefined): string => (adapter === undefined ? model : `${model}/${adapter}`);

/** The demand of one entry. */
export class ModelDemand {
	private requests: Record<string, number> = {};
	private urgent: Record<string, number> = {};
	private suspects = new Set<string>();
	private absent = new Set<string>();
	private leaving = new Set<string>();
	private readonly waiting = new Map<string, Waiting>();

	constructor(private readonly entry: string, private readonly now: () => number, private readonly onUrgent: () => void, private readonly headTimes: HeadTimes) {}

	/** A request came; whether its caller has time for a change of models. */
	recordRequest(model: string, adapter: string | undefined, hasTime: boolean): void {
		const name = formatModel(model, adapter);
		this.requests[name] = (this.requests[name] ?? 0) + 1;
		if (!hasTime) {
			this.urgent[model] = (this.urgent[model] ?? 0) + 1;
		}
	}

	/** An endpoint refused a request for a model or adapter which it was thought to hold. */
	recordMisdirected(endpointId: string): void {
		this.suspects.add(endpointId);
		this.onUrgent();
	}

	/** Nobody listens at the address of an endpoint. */
	recordAbsent(endpointId: string): void {
		if (!this.absent.has(endpointId)) {
			this.absent.add(endpointId);
			this.onUrgent();
		}
	}

	/** An answer of an endpoint said that it is leaving. */
	recordLeaving(endpointId: string): void {
		if (!this.leaving.has(endpointId)) {
			this.leaving.add(endpointId);
			this.onUrgent();
		}
	}

	/** Forgets leaving endpoints of which control knows it. */
	keepLeaving(isUnknownToControl: (id: string) => boolean): void {
		this.leaving = new Set([...this.leaving].filter(id => isUnknownToControl(id)));
	}

	/** A request waits for what no endpoint holds; the result ends that. */
	wait(service: string, model: string, adapter: string | undefined, deadlineAt: number): () => void {
		const key = `${service} ${formatModel(model, adapter)}`;
		const waiting = this.waiting.get(key) ?? {
			service, model, adapter, deadlines: [],
		};
		this.waiting.set(key, waiting);
		waiting.deadlines.push(deadlineAt);
		if (waiting.deadlines.length === 1) {
			this.onUrgent();
		}

		return () => {
			waiting.deadlines.splice(waiting.deadlines.indexOf(deadlineAt), 1);
			if (waiting.deadlines.length === 0) {
				this.waiting.delete(key);
			}
		};
	}

	/** The demand since the last call. */
	take(): DemandReport {
		const {requests, urgent, suspects, absent} = this;
		this.requests = {};
		this.urgent = {};
		this.suspects = new Set();
		this.absent = new Set();
		const now = this.now();
		return {
			entry: this.entry,
			requests,
			urgent,
			headMs: this.headTimes.list(),
			suspects: [...suspects],
			absent: [...absent],
			leaving: [...this.leaving],
			wanted: [...this.waiting.values()].map(({service, model, adapter, deadlines}): PendingDemand => ({
				service, model, adapter, waiting: deadlines.length, remainingMs: Math.round(Math.min(...deadlines) - now),
			})),
		};
	}
}
