/**
 * Learns the engine time that a request for a model takes. Measured work follows a change of demand late; requests multiplied by
 * what one takes follow at once.
 */

/** Time constant of the decay, ms: long, since what a request takes changes little. */
const decayMs = 10_000;
/** Requests that have to be seen before a model's own mean is used. */
const minRequests = 3;

type Totals = {requests: number; engineSeconds: number};

export class WorkPerRequest {
	private readonly models = new Map<string, Totals>();
	/** Mean over all models, s; undefined until it is needed after a record. */
	private mean: {seconds: number | undefined} | undefined;

	/** Adds the requests of a time span, and the engine time that was measured in it, s. */
	record(model: string, requests: number, engineSeconds: number, spanMs: number): void {
		this.mean = undefined;
		const known = this.models.get(model) ?? {requests: 0, engineSeconds: 0};
		const kept = Math.exp(-spanMs / decayMs);
		this.models.set(model, {requests: (known.requests * kept) + requests, engineSeconds: (known.engineSeconds * kept) + engineSeconds});
	}

	/** Returns the engine time of a request, s: that of the model, else the mean of all; undefined if nothing was measured. */
	secondsOf(model: string): number | undefined {
		return divide(this.models.get(model)) ?? this.readMean();
	}

	private readMean(): number | undefined {
		const totals = [...this.models.values()];
		this.mean ??= {seconds: divide({requests: sum(totals.map(({requests}) => requests)), engineSeconds: sum(totals.map(({engineSeconds}) => engineSeconds))})};
		return this.mean.seconds;
	}
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const divide = (totals: Totals | undefined): number | undefined =>
	(totals === undefined || totals.requests < minRequests || totals.engineSeconds === 0 ? undefined : totals.engineSeconds / totals.requests);
