/**
 * Decides which new connections an entry takes while its processor is saturated. A pure policy over what the entry measures of itself.
 *
 * Answers a load balancer that hands most new connections of a failure domain to one entry, or an entry whose instance is slowed down: all that
 * it accepts becomes late together. A connection that is closed before its request is read costs its caller nothing, since the caller tries
 * another entry at once; one that is read and not served in time costs it the request. So connections are taken at the rate at which the
 * entry gets its work done, which it learns while it runs, and the others are closed unread. Some are always taken.
 */

export type AdmissionOptions = {
	/** Monotonic clock, ms. */
	now: () => number;
	/** Returns how long the event loop has been busy since the start of the process, ms. */
	readBusyMs: () => number;
	/** Reports after how long the event loop has come to new work, ms. */
	probeDelay: (report: (delayMs: number) => void) => void;
};

/** What an entry measures of itself, for logs and metrics. */
export type AdmissionReading = {
	/** Share of the last window in which the event loop was busy. */
	utilization: number;
	/** Busy time that a request costs, ms; undefined until one was served. */
	requestMs: number | undefined;
	/** Connections that are taken each second; undefined while all are. */
	perSecond: number | undefined;
};

/** Window of the utilization, ms. */
const windowMs = 200;
/** A longer pause between two new connections says nothing of the load at its end, ms. */
const maxWindowMs = 1000;
/** Utilization from which connections may be limited. */
const saturatedUtilization = 0.95;
/** Time for which work has to wait before connections are limited, ms: shorter bursts are worked off, and a closed connection costs its caller a try. */
const maxBacklogMs = 300;
/**
 * Time of saturation after which connections are limited, ms. A saturated loop accepts no faster than it serves, so that the other connections wait in the
 * system's queue, where no measure of the loop shows them.
 */
const maxSaturatedMs = 1000;
/** Correction of the rate while work waits for longer than `maxBacklogMs`. */
const backlogCorrection = 0.3;
/** Utilization that the limit aims at: what comes in bursts is still begun within some 100 ms. */
const targetUtilization = 0.85;
/** Time constant of the cost of a request, ms: some windows, so that a slowed processor is noticed within a second or two. */
const costDecayMs = 1500;
/** Time without a closed connection after which all are taken again, ms. */
const releaseMs = 1000;
/** Work of closing a connection unread, relative to that of a request. */
const closingWork = 0.08;
/** Correction of the rate by each window that misses the target. */
const decrease = 0.93;
const increase = 1.1;
const minCorrection = 0.3;
const maxCorrection = 4;
/** Connections that are always taken each second, so that no entry turns all callers away; a saturated loop accepts a second's connections at once. */
const minPerSecond = 4;
/** Time whose connections may be taken together, ms. */
const burstMs = 150;
const msPerSecond = 1000;

export class ConnectionAdmission {
	private readonly state = {
		sampledAt: 0, busyMs: 0, requests: 0, ended: 0, taken: 0, closed: 0, backlogMs: 0, delayMs: 0, saturatedMs: 0, utilization: 0, decayedBusyMs: 0, decayedWork: 0, closedPerSecond: 0, correction: 1, tokens: 0, filledAt: 0, refusedAt: Number.NEGATIVE_INFINITY, isLimiting: false,
	};

	constructor(private readonly options: AdmissionOptions) {
		this.state.sampledAt = options.now();
		this.state.busyMs = options.readBusyMs();
	}

	/** Counts a request that the entry has read. */
	recordRequest(): void {
		this.state.requests += 1;
	}

	/** Counts a request that has ended. Under overload fewer end than are read, which shows what each costs. */
	recordEnd(): void {
		this.state.ended += 1;
	}

	/** Whether a new connection is taken. */
	admit(): boolean {
		const {state} = this;
		const now = this.options.now();
		this.sample(now);
		if (!state.isLimiting) {
			state.taken += 1;
			return true;
		}

		this.fill(now);
		if (state.tokens >= 1) {
			state.tokens -= 1;
			state.taken += 1;
			return true;
		}

		state.refusedAt = now;
		state.closed += 1;
		return false;
	}

	read(): AdmissionReading {
		const {utilization, isLimiting} = this.state;
		return {utilization, requestMs: this.requestMs, perSecond: isLimiting ? this.perSecond : undefined};
	}

	private get requestMs(): number | undefined {
		const {decayedBusyMs, decayedWork} = this.state;
		return decayedWork > 0 ? decayedBusyMs / decayedWork : undefined;
	}

	private get perSecond(): number {
		const {requestMs} = this;
		if (requestMs === undefined) {
			return minPerSecond;
		}

		const {correction: learned, closedPerSecond, delayMs} = this.state;
		const correction = delayMs >= maxBacklogMs ? Math.min(learned, backlogCorrection) : learned;
		const workPerSecond = targetUtilization * msPerSecond / requestMs;
		return Math.max(minPerSecond, correction * (workPerSecond - (closingWork * closedPerSecond)));
	}

	/** Measures the window that has ended, if one has. */
	private sample(now: number): void {
		const {state} = this;
		const elapsedMs = now - state.sampledAt;
		if (elapsedMs < windowMs) {
			return;
		}

		const busyMs = this.options.readBusyMs();
		const windowBusyMs = busyMs - state.busyMs;
		const arrived = Math.max(state.taken, state.requests);
		state.backlogMs = Math.max(0, state.backlogMs + (arrived * (this.requestMs ?? 0)) - elapsedMs);
		const decay = Math.exp(-elapsedMs / costDecayMs);
		state.utilization = elapsedMs > maxWindowMs ? Math.min(state.utilization, windowBusyMs / elapsedMs) : windowBusyMs / elapsedMs;
		state.saturatedMs = state.utilization >= saturatedUtilization ? state.saturatedMs + elapsedMs : 0;
		state.decayedBusyMs = (state.decayedBusyMs * decay) + windowBusyMs;
		state.decayedWork = (state.decayedWork * decay) + state.ended + (closingWork * state.closed);
		state.closedPerSecond = state.closed * msPerSecond / elapsedMs;
		state.sampledAt = now;
		state.busyMs = busyMs;
		state.requests = 0;
		state.ended = 0;
		state.taken = 0;
		state.closed = 0;
		this.limit(now);
		this.options.probeDelay(delayMs => {
			state.delayMs = delayMs;
		});
	}

	/** Begins or ends to limit, and corrects the rate by how the last window went. */
	private limit(now: number): void {
		const {state} = this;
		if (!state.isLimiting) {
			const isLate = Math.max(state.backlogMs, state.delayMs) >= maxBacklogMs || state.saturatedMs >= maxSaturatedMs;
			state.isLimiting = state.utilization >= saturatedUtilization && isLate;
			state.correction = 1;
			state.tokens = 0;
			state.filledAt = now;
			state.refusedAt = state.isLimiting ? now : state.refusedAt;
			return;
		}

		if (state.utilization >= saturatedUtilization) {
			state.correction = Math.max(minCorrection, state.correction * decrease);
		} else if (state.utilization < targetUtilization) {
			state.correction = Math.min(maxCorrection, state.correction * increase);
			state.isLimiting = now - state.refusedAt < releaseMs;
		}
	}

	private fill(now: number): void {
		const {state} = this;
		const {perSecond} = this;
		state.tokens = Math.min(Math.max(minPerSecond, perSecond * burstMs / msPerSecond), state.tokens + ((now - state.filledAt) * perSecond / msPerSecond));
		state.filledAt = now;
	}
}
