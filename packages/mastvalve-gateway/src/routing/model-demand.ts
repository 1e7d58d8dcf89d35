/**
 * Which models and adapters callers ask this entry for, and which of them no endpoint holds. Control learns of it.
 */

/** Demand since the last report. */
export type DemandReport = {
	/** Requests by model. */
	requests: Record<string, number>;
	/** Requests that wait now, by `service model adapter`, each with the time left to the most pressing, ms. */
	wanted: Wanted[];
};

/** A model, or an adapter of one, that requests wait for. */
export type Wanted = {service: string; model: string; adapter: string | undefined; waiting: number; remainingMs: number};

type Waiting = {service: string; model: string; adapter: string | undefined; deadlines: number[]};

/** The demand of one entry. */
export class ModelDemand {
	private requests: Record<string, number> = {};
	private readonly waiting = new Map<string, Waiting>();

	constructor(private readonly now: () => number, private readonly onWanted: () => void) {}

	recordRequest(model: string): void {
		this.requests[model] = (this.requests[model] ?? 0) + 1;
	}

	/** A request waits for what no endpoint holds; the result ends that. */
	wait(service: string, model: string, adapter: string | undefined, deadlineAt: number): () => void {
		const key = `${service} ${model} ${adapter ?? ''}`;
		const waiting = this.waiting.get(key) ?? {
			service, model, adapter, deadlines: [],
		};
		this.waiting.set(key, waiting);
		waiting.deadlines.push(deadlineAt);
		if (waiting.deadlines.length === 1) {
			this.onWanted();
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
		const {requests} = this;
		this.requests = {};
		const now = this.now();
		return {
			requests,
			wanted: [...this.waiting.values()].map(({service, model, adapter, deadlines}) => ({
				service, model, adapter, waiting: deadlines.length, remainingMs: Math.round(Math.min(...deadlines) - now),
			})),
		};
	}
}
