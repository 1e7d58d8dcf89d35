/**
 * Notices that nothing has moved for a while. A transfer may take as long as its size and its link need, as long as it
 * goes on; only a peer that moves no byte counts as out of reach.
 */

/** The watch. */
export class SilenceWatch {
	private readonly timer: NodeJS.Timeout;

	/** Calls `onSilent` once when `idleTimeoutMs` have passed since the start or the last byte. */
	constructor(idleTimeoutMs: number, onSilent: () => void) {
		this.timer = setTimeout(onSilent, idleTimeoutMs);
	}

	/** Some byte has moved. */
	touch = (): void => {
		this.timer.refresh();
	};

	end(): void {
		clearTimeout(this.timer);
	}
}
