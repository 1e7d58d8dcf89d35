/**
 * One whole session as a golden file.
 */

import {Then, When} from '@cucumber/cucumber';
import type {TimelineEvent} from 'mastvalve-types';
import {createLoan, recordLoan, streamChat} from '../support/callers.js';
import type {Finished} from '../support/child.js';
import {waitUntil} from '../support/conditions.js';
import type {ScenarioWorld} from '../support/world.js';
import {matchSnapshot} from './common.steps.js';

/** What differs from run to run: ids, revisions, terms, who leads. */
const normalize = (text: string): string => text
	.replaceAll(/\b[\da-f]{12,64}\b/gv, 'HASH')
	.replaceAll(/revision \d+/gv, 'revision N')
	.replaceAll(/incarnation \d+/gv, 'incarnation N')
	.replaceAll(/leader control-\d in term \d+/gv, 'leader control-N in term N');

const formatFinished = (command: string, finished: Finished): string =>
	normalize(`$ mastvalve ${command}\n${finished.stdout}${finished.stderr}[exit code ${finished.code ?? 'none'}]\n`);

When('the session is carried out', async function (this: ScenarioWorld) {
	const {running} = this;
	const transcript: string[] = [];
	const run = async (...args: string[]): Promise<Finished> => {
		const finished = await running.run(...args);
		transcript.push(formatFinished(args.join(' '), finished));
		return finished;
	};

	const intent = 'features/__fixtures__/small-intent.toml';
	const stated = await run('intent', 'state', intent);
	const planId = /plan confirm (?<id>[\da-f]+)/v.exec(stated.stdout)?.groups?.id ?? '';
	await run('plan', 'show', planId);
	await run('plan', 'confirm', planId);
	await run('plan', 'confirm', planId);
	await running.waitUntilLoaded();
	await waitUntil('all endpoints have reported', async () => {
		const status = await running.run('status');
		return !status.stdout.includes('no report');
	});
	await run('status');
	const chat = await streamChat(running, {entry: 'entry-1', model: 'titles-school', tokens: 6});
	transcript.push(`chat with titles-school: ${chat.isWhole ? 'whole' : 'broken'}, "${chat.text}"\n`);
	const loan = createLoan('atlas');
	const first = await recordLoan(running, 'entry-1', loan);
	const repeat = await recordLoan(running, 'entry-2', loan);
	transcript.push(`loan: ${first.status} ${first.outcome} ${first.body}\nrepeat: ${repeat.status} ${repeat.outcome} ${repeat.body}${repeat.isReplay ? ', kept from the first time' : ''}\n`);
	await run('endpoint', 'drain', 'engine-2');
	await running.waitUntilLoaded();
	await waitUntil('the survivor holds everything', async () => {
		const {configuration} = await running.readStatus();
		return configuration.placements['engine-1']?.loaded.length === 2;
	});
	await run('status');
	const events = await running.runForJson<TimelineEvent[]>('timeline');
	const kinds = [...new Set(events.map(event => event.kind))].toSorted((a, b) => a.localeCompare(b));
	transcript.push(`kinds of events on the time line: ${kinds.filter(kind => !kind.startsWith('replica') && !kind.startsWith('journal')).join(', ')}\n`);
	this.text = transcript.join('\n');
});

Then('its transcript matches the snapshot {string}', async function (this: ScenarioWorld, name: string) {
	await matchSnapshot(name, this.text);
});
