/**
 * Proof of property 6 on the platform: an endpoint that starts again under its name.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {
	EndpointPhase, FleetCommandKind, FleetMachine, formatIncarnation, type EndpointReport,
} from 'mastvalve-fleet';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

/** What happens: the endpoint reports or starts again, or one of the reports on their way arrives, is lost or comes twice. */
enum StepKind {
	Report = 'report',
	Restart = 'restart',
	Deliver = 'deliver',
	Lose = 'lose',
	Repeat = 'repeat',
}

type Step = {kind: StepKind; pick: number};

/** An endpoint, its reports on their way, and what control has made of those that arrived. */
class EndpointModel {
	readonly machine = new FleetMachine();
	private bornAt = 1;
	private sequence = 0;
	private holds = 0;
	private readonly onTheWay: EndpointReport[] = [];
	private arrived = 0;

	constructor(private readonly tellsBirth: boolean) {}

	step({kind, pick}: Step): void {
		const at = pick % Math.max(1, this.onTheWay.length);
		switch (kind) {
			case StepKind.Report: {
				this.holds = pick;
				this.report();
				break;
			}

			case StepKind.Restart: {
				this.bornAt += 1;
				this.sequence = 0;
				break;
			}

			case StepKind.Deliver: {
				this.take(this.onTheWay.splice(at, 1));
				break;
			}

			case StepKind.Lose: {
				this.onTheWay.splice(at, 1);
				break;
			}

			case StepKind.Repeat: {
				this.onTheWay.push(...this.onTheWay.slice(at, at + 1));
				break;
			}
		}
	}

	/** All that is on its way arrives, and then a last report of the incarnation that runs. */
	settle(): void {
		this.take(this.onTheWay.splice(0).toReversed());
		this.report();
		this.take(this.onTheWay.splice(0));
	}

	/** What requests go by is one endpoint, and what it holds by its last word. */
	check(): void {
		const inUse = this.machine.list().filter(({phase}) => phase === EndpointPhase.Ready);
		assert.deepEqual(inUse.map(({holds}) => holds.map(({name}) => name)), [[`m${this.holds}`]]);
	}

	private report(): void {
		this.sequence += 1;
		this.onTheWay.push({
			id: formatIncarnation({name: 'e', startedAt: this.tellsBirth ? this.bornAt : undefined}),
			sequence: this.sequence,
			service: 's',
			address: '10.0.0.1:80',
			failureDomain: 'a',
			release: '',
			slots: 1,
			isLeaving: false,
			remainingMs: undefined,
			holds: [{name: `m${this.holds}`, adapters: []}],
			inMemory: [],
			onDisk: [],
		});
	}

	private take(reports: readonly EndpointReport[]): void {
		reports.forEach(report => {
			this.arrived += 1;
			this.machine.apply({kind: FleetCommandKind.Report, report}, this.arrived);
		});
	}
}

const stepArbitrary = fc.record<Step>({kind: fc.constantFrom(...Object.values(StepKind)), pick: fc.nat(100)});

/** The proofs. */
export const incarnationProofs: Proof[] = [{
	property: Property.Leaving,
	failure: 'an endpoint starts again and again under its name; its heartbeats are lost, late, repeated and reordered',
	scenario: 'requests go by what the incarnation that runs has said last',
	twin: 'an endpoint is known by its name alone',
	run: async (variant, run) => checkProperty(
		fc.array(stepArbitrary, {minLength: 5, maxLength: 60}),
		steps => {
			const model = new EndpointModel(variant === Variant.Real);
			steps.forEach(step => {
				model.step(step);
			});
			model.settle();
			model.check();
		},
		{...run, variant},
	),
}];
