/**
 * Chooses engines for the requests of all entries at the leader.
 *
 * The state belongs to one term. A new leader starts without it, and asks each entry for its runs in progress at the first call.
 */

import {
	Dispatcher, type DispatchClaim, type DispatchDecision, type EngineCandidate, type MeasuredModelWork, type ModelClaim, type RunEvent, type RunSnapshot,
} from 'mastvalve-dispatch';
import {
	EndpointPhase, holdsModel, takesRequests, type FleetEndpoint, type FleetMachine,
} from 'mastvalve-fleet';

export type DispatchServiceOptions = {
	machine: Pick<FleetMachine, 'revision' | 'list' | 'find' | 'configuration'>;
	/** Returns the term in which this instance leads with a valid lease; undefined if it doesn't lead. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
};

/** Body of a call of an entry. */
export type DispatchRequest = {
	/** Name of this incarnation of the entry. */
	entry: string;
	claims: DispatchClaim[];
	events: RunEvent[];
	/** Runs that the leader doesn't know: those chosen without it, and all runs after a change of leader. */
	running: RunSnapshot[];
	/** Whether `running` has all runs in progress. */
	isWhole: boolean;
};

export type DispatchResponse = {
	/** Decisions about these claims, and about earlier ones that were queued. */
	decisions: DispatchDecision[];
	/** Whether this leader lacks the runs of the entry; nothing is decided in that case. */
	needsRunning: boolean;
};

/** Interval at which runs that can't be in progress any more are dropped, ms. */
const sweepIntervalMs = 250;

type Account = {term: number; dispatcher: Dispatcher; sweptAt: number};

export class DispatchService {
	private account: Account | undefined;
	/** Endpoints that accept requests and have no limit, by service, at a revision of the state. */
	private available: {revision: number; byService: Map<string, FleetEndpoint[]>} | undefined;

	constructor(private readonly options: DispatchServiceOptions) {}

	/** Number of runs in progress; 0 while another instance leads. */
	get runCount(): number {
		return this.readSwept()?.dispatcher.runCount ?? 0;
	}

	/** Number of claims that wait for an engine; 0 while another instance leads. */
	get waitingCount(): number {
		return this.readSwept()?.dispatcher.waitingCount ?? 0;
	}

	/** Returns the work of a service's models, measured since this instance leads; undefined if the leader doesn't choose its engines. */
	listWork(service: string): MeasuredModelWork[] | undefined {
		return this.readAccount()?.dispatcher.listWork(service, this.options.now());
	}

	/** Returns how fast an engine works: 1 is the mean of its service; undefined while another instance leads. */
	speedOf(engine: string): number | undefined {
		return this.readAccount()?.dispatcher.speedOf(engine);
	}

	/** Records events and decides claims; undefined if another instance may lead. */
	answer({entry, claims, events, running, isWhole}: DispatchRequest): DispatchResponse | undefined {
		const account = this.readAccount();
		if (!account) {
			return undefined;
		}

		const now = this.options.now();
		const {dispatcher} = account;
		this.sweep(account, now);
		if (!isWhole && !dispatcher.hasContact(entry)) {
			return {decisions: [], needsRunning: true};
		}

		dispatcher.recordContact(entry, now);
		if (isWhole) {
			dispatcher.retainRuns(entry, new Set(running.map(({claim}) => claim.id)), now);
		}

		running.forEach(run => {
			dispatcher.adopt(entry, run, now);
		});
		events.forEach(event => {
			dispatcher.record(event, now);
		});
		const decisions = claims.map(claim => dispatcher.claim(entry, claim, now));
		return {decisions: [...decisions, ...dispatcher.takeDecisions(entry, now)], needsRunning: false};
	}

	private sweep(account: Account, now: number): void {
		if (now >= account.sweptAt + sweepIntervalMs) {
			account.sweptAt = now;
			account.dispatcher.sweep(now);
		}
	}

	/** Returns the account without runs that have ended: if all entries are silent, no call drops these. */
	private readSwept(): Account | undefined {
		const account = this.readAccount();
		if (account) {
			this.sweep(account, this.options.now());
		}

		return account;
	}

	private readAccount(): Account | undefined {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.account?.term !== term) {
			this.account = {
				term, dispatcher: this.createDispatcher(), sweptAt: Number.NEGATIVE_INFINITY,
			};
		}

		return this.account;
	}

	private createDispatcher(): Dispatcher {
		return new Dispatcher({
			hasQueue: true,
			listHolders: claim => this.listHolders(claim),
			isKnown: id => {
				const endpoint = this.options.machine.find(id);
				return endpoint !== undefined && endpoint.phase !== EndpointPhase.Gone;
			},
		});
	}

	private listHolders({service, model, adapter}: ModelClaim): EngineCandidate[] {
		const spec = this.options.machine.configuration?.configuration.services.find(({name}) => name === service)?.engine;
		if (!spec) {
			return [];
		}

		return this.listAvailable(service)
			.filter(endpoint => holdsModel(endpoint, model, adapter))
			.map(({id, phase, failureDomain}) => ({
				id, isSilent: phase === EndpointPhase.Silent, slots: spec.slots, tokenCapacity: spec.tokenCapacity, failureDomain, copyMsPerToken: spec.copyMsPerToken,
			}));
	}

	private listAvailable(service: string): FleetEndpoint[] {
		const {machine} = this.options;
		if (this.available?.revision !== machine.revision) {
			const byService = new Map<string, FleetEndpoint[]>();
			machine.list().filter(endpoint => takesRequests(endpoint) && endpoint.limitPerSecond === undefined).forEach(endpoint => {
				byService.set(endpoint.service, [...(byService.get(endpoint.service) ?? []), endpoint]);
			});
			this.available = {revision: machine.revision, byService};
		}

		return this.available.byService.get(service) ?? [];
	}
}
