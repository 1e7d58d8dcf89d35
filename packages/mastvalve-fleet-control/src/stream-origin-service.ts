/**
 * Tells entries at which release a stream began that another entry served.
 *
 * The leader keeps what entries report, in memory and for its term; a new leader asks each entry for its origins at the first call. Nothing is
 * written to the log: a stream whose origin is lost isn't taken up, unless its service has had a single release.
 */

import {
	EndpointPhase, proveRelease, StreamOriginTable, type FleetMachine, type ProvedRelease, type StreamOrigin,
} from 'mastvalve-fleet';

export type StreamOriginServiceOptions = {
	machine: Pick<FleetMachine, 'find' | 'list'>;
	/** Returns the term in which this instance leads with a valid lease; undefined if it doesn't lead. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
	/** Time of day, ms. */
	wall: () => number;
};

/** A stream whose caller returns. */
export type OriginQuestion = {key: string; service: string};

/** Body of a call of an entry. */
export type StreamOriginRequest = {
	/** Name of this incarnation of the entry. */
	entry: string;
	origins: StreamOrigin[];
	/** Whether `origins` has all that the entry knows. */
	isWhole: boolean;
	questions: OriginQuestion[];
	/** Incarnations that the entry wants to send the rest of streams to. */
	targets: string[];
};

export type StreamOriginResponse = {
	term: number;
	/** Whether this leader lacks the earlier origins of the entry. */
	needsAll: boolean;
	/** One for each question. */
	answers: ProvedRelease[];
	/** The targets whose processes still answer at their addresses. */
	confirmed: string[];
};

/** Largest number of streams in progress or just broken; an origin takes about 300 bytes. */
const maxOrigins = 50_000;
const sweepIntervalMs = 1000;

type Account = {term: number; table: StreamOriginTable; entries: Set<string>; sweptAt: number};

export class StreamOriginService {
	private account: Account | undefined;

	constructor(private readonly options: StreamOriginServiceOptions) {}

	/** Number of known origins; 0 while another instance leads. */
	get originCount(): number {
		return this.readAccount()?.table.size ?? 0;
	}

	/** Records origins and answers questions; undefined if another instance may lead. */
	answer({
		entry, origins, isWhole, questions, targets,
	}: StreamOriginRequest): StreamOriginResponse | undefined {
		const account = this.readAccount();
		if (!account) {
			return undefined;
		}

		const now = this.options.now();
		origins.forEach(origin => {
			account.table.record(origin, now);
		});
		if (isWhole) {
			account.entries.add(entry);
		}

		return {
			term: account.term, needsAll: !account.entries.has(entry), answers: questions.map(question => this.prove(account, question, now)), confirmed: targets.filter(id => this.isCurrent(id)),
		};
	}

	/** Whether no successor is known to answer at an endpoint's address, or may answer there since its process has ended. */
	private isCurrent(id: string): boolean {
		const endpoint = this.options.machine.find(id);
		return endpoint !== undefined && endpoint.phase !== EndpointPhase.Gone && endpoint.hasCrashed !== true;
	}

	private prove({table}: Account, {key, service}: OriginQuestion, now: number): ProvedRelease {
		return proveRelease({
			origin: table.findOrigin(key, now),
			endpoints: this.options.machine.list().filter(endpoint => endpoint.service === service),
			wall: this.options.wall(),
		});
	}

	private readAccount(): Account | undefined {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		const now = this.options.now();
		if (this.account?.term !== term) {
			this.account = {
				term, table: new StreamOriginTable(maxOrigins), entries: new Set(), sweptAt: now,
			};
		}

		if (now >= this.account.sweptAt + sweepIntervalMs) {
			this.account.sweptAt = now;
			this.account.table.sweep(now);
		}

		return this.account;
	}
}
