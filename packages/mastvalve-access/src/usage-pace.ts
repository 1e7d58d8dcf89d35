/**
 * How an entry goes on while nobody answers for the limits: each workspace at the pace that it had here.
 *
 * What all entries were granted lately adds up to no more than the limit, so going on at the same pace keeps it, and needs
 * nobody. A workspace that was refused lately begins with a debt that differs from entry to entry, or all of them would
 * let one request pass at the same moment.
 */

/** Time over which the pace is taken, ms: the shortest window in which limits are counted (8 s). */
const memoryMs = 8000;
/** A refusal tells that the limit is reached for this long, ms. */
const refusedMs = 2000;
const msPerSecond = 1000;

type Usage = {
	/** Units a second, as an average that decays. */
	pace: number;
	pacedAt: number;
	refusedAt: number;
	/** Cost of the last request. */
	lastCost: number;
	/** What may pass without an answer; undefined while answers come. */
	left: number | undefined;
	filledAt: number;
};

/** The paces of one entry. Times are monotonic, ms. */
export class UsagePace {
	private readonly usages = new Map<string, Usage>();

	constructor(private readonly random: () => number) {}

	/** A cost was granted by whoever counts. */
	recordGrant(workspace: string, cost: number, now: number): void {
		const usage = this.usageOf(workspace, now);
		usage.pace = paceAt(usage, now) + (cost / memoryMs * msPerSecond);
		usage.pacedAt = now;
		usage.lastCost = cost;
		usage.left = undefined;
	}

	/** A cost was refused by whoever counts. */
	recordRefusal(workspace: string, now: number): void {
		const usage = this.usageOf(workspace, now);
		usage.refusedAt = now;
		usage.left = undefined;
	}

	/** Nobody answers: whether a cost may pass at the pace so far. */
	takeAlone(workspace: string, cost: number, now: number): boolean {
		const usage = this.usageOf(workspace, now);
		const wasRefused = now - usage.refusedAt < refusedMs;
		usage.left ??= wasRefused ? -usage.lastCost * this.random() : usage.pace;
		usage.left = Math.min(usage.pace, usage.left + ((now - usage.filledAt) / msPerSecond * usage.pace));
		usage.filledAt = now;
		if (usage.left <= 0) {
			return false;
		}

		usage.left -= cost;
		return true;
	}

	private usageOf(workspace: string, now: number): Usage {
		const usage = this.usages.get(workspace) ?? {
			pace: 0, pacedAt: now, refusedAt: Number.NEGATIVE_INFINITY, lastCost: 0, left: undefined, filledAt: now,
		};
		this.usages.set(workspace, usage);
		usage.filledAt = usage.left === undefined ? now : usage.filledAt;
		return usage;
	}
}

const paceAt = ({pace, pacedAt}: Usage, now: number): number => pace * Math.exp(-(now - pacedAt) / memoryMs);
