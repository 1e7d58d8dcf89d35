/**
 * Learns the time that engines take to generate one token of an answer.
 */

/** Time per generated token until one was measured, ms. */
const defaultMsPerToken = 8;
/** Weight of a new answer in the moving mean of the time per generated token. */
const sampleWeight = 0.05;

export class OutputSpeed {
	private mean = defaultMsPerToken;

	/** Time per token at an engine of usual speed, ms. */
	get msPerToken(): number {
		return this.mean;
	}

	/** Records the time per token of one answer, in terms of an engine of usual speed. */
	record(msPerToken: number): void {
		this.mean += (msPerToken - this.mean) * sampleWeight;
	}
}
