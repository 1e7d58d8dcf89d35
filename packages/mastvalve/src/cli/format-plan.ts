/**
 * A plan as text for review.
 */

import {formatTable} from 'mastvalve-utils';
import type {Plan} from 'mastvalve-intents';
import {AssignmentMode} from 'mastvalve-types';

const shortIdLength = 12;

const section = (title: string, rows: ReadonlyArray<readonly string[]>): string[] =>
	(rows.length === 0 ? [`${title}: none`] : [`${title}:`, formatTable(rows).split('\n').map(line => `  ${line}`).join('\n')]);

/** What an operator reviews. */
export const formatPlan = (plan: Plan): string => {
	const onDemand = plan.reachability.filter(item => item.mode === AssignmentMode.OnDemand);
	return [
		`plan ${plan.id.slice(0, shortIdLength)} on version ${plan.baseVersion}`,
		...section('moves', plan.moves.map(move => [move.kind, move.model, 'at', move.endpointId, move.mode])),
		...section('memory', plan.memory.map(item => [item.endpointId, `${item.before} -> ${item.after}`, `of ${item.capacity}`])),
		...section('events', plan.events.map(item => [item.event, `claims ${item.claimed}`, `may claim ${item.allowed}`])),
		...section('reachable', plan.reachability.map(item => [item.name, item.mode, item.endpoints.join(', ')])),
		`${plan.reachability.length} names reachable, ${onDemand.length} of them on demand`,
		...(plan.refusals.length === 0
			? [`Nothing has changed yet. To carry it out: mastvalve plan confirm ${plan.id.slice(0, shortIdLength)}`]
			: ['It can not be confirmed:', ...plan.refusals.map(refusal => `  ${refusal}`)]),
	].join('\n');
};
