/**
 * The time line as one self-contained HTML page with a lane for each process.
 */

import type {TimelineEvent} from 'mastvalve-types';
import {compareText} from 'mastvalve-utils';

const laneWidth = 190;
const rowHeight = 22;
const headerHeight = 44;
const timeWidth = 150;
const detailWidth = 520;
const hueStep = 47;

const escapes: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/** Text that is safe inside HTML. */
export const escapeHtml = (text: string): string => text.replaceAll(/[&<>"']/gv, character => escapes[character] ?? character);

const hueOf = (text: string): number => [...text].reduce((hue, character) => (hue + ((character.codePointAt(0) ?? 0) * hueStep)) % 360, 0);

type Lane = {instance: string; failureDomain: string; x: number};

const createLanes = (events: readonly TimelineEvent[]): Map<string, Lane> => {
	const domains = new Map(events.map(event => [event.instance, event.failureDomain]));
	const names = [...domains.keys()].toSorted(compareText);
	return new Map(names.map((instance, index) => [instance, {instance, failureDomain: domains.get(instance) ?? '', x: timeWidth + (index * laneWidth) + (laneWidth / 2)}]));
};

const renderLane = (lane: Lane, height: number): string =>
	`<g><text x="${lane.x}" y="16" class="name">${escapeHtml(lane.instance)}</text><text x="${lane.x}" y="32" class="domain">${escapeHtml(lane.failureDomain)}</text>`
	+ `<line x1="${lane.x}" y1="${headerHeight}" x2="${lane.x}" y2="${height}" class="lane"/></g>`;

const renderEvent = (event: TimelineEvent, index: number, lanes: Map<string, Lane>, right: number): string => {
	const x = lanes.get(event.instance)?.x ?? 0;
	const y = headerHeight + ((index + 1) * rowHeight);
	const color = `hsl(${hueOf(event.requestId ?? event.kind)} 65% 42%)`;
	const time = new Date(event.clock.wall).toISOString().slice(11, 23);
	const what = `${event.kind}${event.requestId ? ` [${event.requestId.slice(0, 8)}]` : ''}: ${event.detail}`;
	return `<g class="event"><title>${escapeHtml(`${event.instance}: ${what}`)}</title><rect x="0" y="${y - (rowHeight / 2)}" width="${right + detailWidth}" height="${rowHeight}"/>`
		+ `<text x="4" y="${y + 4}" class="time">${time}+${event.clock.counter}</text><circle cx="${x}" cy="${y}" r="5" fill="${color}"/>`
		+ `<line x1="${x + 6}" y1="${y}" x2="${right}" y2="${y}" class="lead"/><text x="${right + 6}" y="${y + 4}" class="detail">${escapeHtml(what)}</text></g>`;
};

/** Lines between events of one request that follow each other in different processes. */
const renderHops = (events: readonly TimelineEvent[], lanes: Map<string, Lane>): string => {
	const lastOf = new Map<string, {x: number; y: number}>();
	return events.map((event, index) => {
		const point = {x: lanes.get(event.instance)?.x ?? 0, y: headerHeight + ((index + 1) * rowHeight)};
		const last = event.requestId === undefined ? undefined : lastOf.get(event.requestId);
		if (event.requestId !== undefined) {
			lastOf.set(event.requestId, point);
		}

		return last && last.x !== point.x
			? `<line x1="${last.x}" y1="${last.y}" x2="${point.x}" y2="${point.y}" stroke="hsl(${hueOf(event.requestId ?? '')} 65% 60%)" stroke-width="1.5"/>`
			: '';
	}).join('');
};

const style = `body{margin:0;font:13px system-ui,sans-serif;color:#1c2430;background:#fff}h1{font-size:18px;margin:16px}
svg text{font:12px system-ui,sans-serif}.name{font-weight:600;text-anchor:middle}.domain{fill:#667;text-anchor:middle}.lane{stroke:#c8d0da}
.lead{stroke:#e3e8ee;stroke-dasharray:2 3}.time{fill:#556;font-family:ui-monospace,monospace}.event rect{fill:transparent}.event:hover rect{fill:#f1f5fa}p{margin:0 16px 8px}`;

/** The page. Events must be in causal order. */
export const renderTimeline = (events: readonly TimelineEvent[], deployment: string): string => {
	const lanes = createLanes(events);
	const right = timeWidth + (lanes.size * laneWidth);
	const height = headerHeight + ((events.length + 1) * rowHeight);
	const drawing = [
		...[...lanes.values()].map(lane => renderLane(lane, height)),
		renderHops(events, lanes),
		...events.map((event, index) => renderEvent(event, index, lanes, right)),
	].join('');
	return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>mastvalve time line: ${escapeHtml(deployment)}</title><style>${style}</style></head><body>
<h1>Time line of ${escapeHtml(deployment)}</h1><p>${events.length} events of ${lanes.size} processes in causal order (hybrid logical clock); each request has its color.</p>
<svg width="${right + detailWidth}" height="${height}" role="img" aria-label="Time line">${drawing}</svg>
</body></html>
`;
};
