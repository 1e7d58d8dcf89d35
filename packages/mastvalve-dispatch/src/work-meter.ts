/**
 * Measures the work that the requests for each model cause at engines. The placement of models is planned by it.
 */

import type {DispatchClaim} from './dispatch-claim.js';

/** Decay time constant of reading work, ms: short compared to changes of demand, long compared to a burst of prompts. */
const decayMs = 2000;
const msPerSecond = 1000;

/** Work for one model of a service. */
export type MeasuredModelWork = {
	model: string;
	/** Time that an engine of usual speed needs to read its prompts, without the parts that engines keep, ms per second. */
	readMsPerSecond: number;
	/** Number of answers that are being generated. */
	answersInProgress: number;
};

type ModelMeter = {service: string; model: string; readMs: number; at: number; answers: number};

type ModelOfService = Pick<DispatchClaim, 'service' | 'model'>;

/** Times are monotonic, ms. */
export class WorkMeter {
	private readonly meters = new Map<string, ModelMeter>();

	/** Adds a prompt that an engine of usual speed reads in `readMs`. */
	recordPrompt(claim: ModelOfService, readMs: number, now: number): void {
		const meter = this.meterOf(claim, now);
		meter.readMs = this.decay(meter, now) + readMs;
		meter.at = now;
	}

	/** Adds or removes answers that are being generated. */
	countAnswers(claim: ModelOfService, change: number, now: number): void {
		this.meterOf(claim, now).answers += change;
	}

	/** Lists the work of a service's models; undefined if it was never asked for. */
	list(service: string, now: number): MeasuredModelWork[] | undefined {
		const meters = [...this.meters.values()].filter(meter => meter.service === service);
		return meters.length === 0
			? undefined
			: meters.map(meter => ({model: meter.model, readMsPerSecond: this.decay(meter, now) * msPerSecond / decayMs, answersInProgress: meter.answers}));
	}

	private decay({readMs, at}: ModelMeter, now: number): number {
		return readMs * Math.exp(-(now - at) / decayMs);
	}

	private meterOf({service, model}: ModelOfService, now: number): ModelMeter {
		const key = `${service}\n${model}`;
		const meter = this.meters.get(key) ?? {
			service, model, readMs: 0, at: now, answers: 0,
		};
		this.meters.set(key, meter);
		return meter;
	}
}
