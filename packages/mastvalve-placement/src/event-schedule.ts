/**
 * Schedule of declared events, with the lead time in which their replicas are loaded.
 */

import type {DeclaredEvent} from 'mastvalve-types';

const minutesPerDay = 1440;
const msPerMinute = 60_000;

const minuteOfDay = (event: DeclaredEvent): number => {
	const [hours = 0, minutes = 0] = event.at.split(':').map(Number);
	return (hours * 60) + minutes;
};

/** Whether an event is in progress or starts within `leadMinutes`; `wall` in ms since the epoch, `zoneMinutes` east of UTC. */
export const isEventDue = (event: DeclaredEvent, wall: number, leadMinutes: number, zoneMinutes = 0): boolean => {
	const minute = Math.floor(wall / msPerMinute) + zoneMinutes;
	const sinceLead = (((minute - minuteOfDay(event) + leadMinutes) % minutesPerDay) + minutesPerDay) % minutesPerDay;
	return sinceLead < leadMinutes + event.minutes;
};

/** Returns the replicas that due events require, by model. */
export const listEventReplicas = (events: readonly DeclaredEvent[], wall: number, leadMinutes: number): Map<string, number> =>
	events
		.filter(event => isEventDue(event, wall, leadMinutes))
		.flatMap(event => event.models)
		.reduce((replicas, entry) => replicas.set(entry.model, Math.max(replicas.get(entry.model) ?? 0, entry.replicas)), new Map<string, number>());

/** Whether two events overlap in time of day, including their lead times. */
export const doEventsOverlap = (a: DeclaredEvent, b: DeclaredEvent, leadMinutes: number): boolean => {
	const gap = (from: DeclaredEvent, to: DeclaredEvent): number => (((minuteOfDay(to) - minuteOfDay(from)) % minutesPerDay) + minutesPerDay) % minutesPerDay;
	return gap(a, b) < a.minutes + leadMinutes || gap(b, a) < b.minutes + leadMinutes;
};
