/**
 * Schedules the next call to the leader. Of several times that are asked for, the earliest counts.
 */

export type CallTimerOptions = {
	/** Monotonic clock, ms. */
	now: () => number;
	/** Aborts when the entry stops; nothing is scheduled afterwards. */
	signal: AbortSignal;
	onDue: () => void;
};

export class CallTimer {
	private timer: NodeJS.Timeout | undefined;
	private dueAt = Number.POSITIVE_INFINITY;

	constructor(private readonly options: CallTimerOptions) {
		options.signal.addEventListener('abort', () => {
			clearTimeout(this.timer);
		}, {once: true});
	}

	/** Schedules a call after a time in ms, unless one is due earlier. */
	schedule(ms: number): void {
		const {now, signal, onDue} = this.options;
		const at = now() + ms;
		if (at >= this.dueAt || signal.aborted) {
			return;
		}

		clearTimeout(this.timer);
		this.dueAt = at;
		this.timer = setTimeout(() => {
			this.dueAt = Number.POSITIVE_INFINITY;
			onDue();
		}, ms);
	}
}
