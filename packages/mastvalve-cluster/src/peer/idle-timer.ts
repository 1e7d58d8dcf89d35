/**
 * Detects a stalled transfer. A transfer may take as long as its size and link require; only a peer that transfers no byte
 * counts as unreachable.
 */

export class IdleTimer {
	private readonly timer: NodeJS.Timeout;

	/** Calls `onTimeout` once when `idleTimeoutMs` have passed since the start or the last reset. */
	constructor(idleTimeoutMs: number, onTimeout: () => void) {
		this.timer = setTimeout(onTimeout, idleTimeoutMs);
	}

	/** Restarts the timeout after a byte was transferred. */
	reset = (): void => {
		this.timer.refresh();
	};

	stop(): void {
		clearTimeout(this.timer);
	}
}
