/**
 * Steps of bad input.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {
	appendFile, mkdir, readFile, writeFile,
} from 'node:fs/promises';
import {connect} from 'node:net';
import {join} from 'node:path';
import {type DataTable, Then} from '@cucumber/cucumber';
import {encodeRecord, journalFormat} from 'mastvalve-replication';
import type {ControlInstance} from 'mastvalve-settings';
import {assumeType} from 'mastvalve-utils';
import {v4, v7} from 'uuid';
import {expectChat, expectWholeChats, readChat} from '../support/callers.js';
import type {Deployment} from '../support/deployment.js';
import {waitUntil} from '../support/conditions.js';
import type {ScenarioWorld} from '../support/world.js';

type Mistake = {path: string; body: string; headers?: Record<string, string>};

const chatPath = '/v1/chat/completions';
const goodBody = JSON.stringify({model: 'titles', messages: [{role: 'user', content: 'hello'}]});
const loan = JSON.stringify({title: 'atlas'});
const tooLong = 100_001;

const mistakes: Readonly<Record<string, Mistake>> = {
	'malformed JSON': {path: chatPath, body: '{"model": '},
	'no model': {path: chatPath, body: '{}'},
	'an unknown model': {path: chatPath, body: JSON.stringify({model: 'nobody'})},
	'an unknown service': {path: '/services/nobody/loans', body: loan},
	'a body over the limit': {path: chatPath, body: 'x'.repeat(tooLong)},
	'an expired deadline': {path: chatPath, body: goodBody, headers: {'mastvalve-deadline-ms': '0'}},
	'a deadline that is no number': {path: chatPath, body: goodBody, headers: {'mastvalve-deadline-ms': 'soon'}},
	'an unknown priority': {path: chatPath, body: goodBody, headers: {'mastvalve-priority': 'first'}},
	'a bad request id': {path: chatPath, body: goodBody, headers: {'mastvalve-request-id': 'a b'}},
	'a loan without a key': {path: '/services/desk/loans', body: loan},
	'a key without issue time': {path: '/services/desk/loans', body: loan, headers: {'idempotency-key': v4()}},
	'a key that is too old': {path: '/services/desk/loans', body: loan, headers: {'idempotency-key': v7({msecs: 1_700_000_000_000})}},
	'a key from the future': {path: '/services/desk/loans', body: loan, headers: {'idempotency-key': v7({msecs: 4_000_000_000_000})}},
};

Then('callers get these answers:', async function (this: ScenarioWorld, table: DataTable) {
	await Promise.all(table.hashes().map(async ({mistake = '', ...expected}) => {
		const made = mistakes[mistake];
		assert.ok(made, `no mistake "${mistake}"`);
		const res = await fetch(`${this.running.urlOf('entry-1')}${made.path}`, {method: 'POST', headers: {'content-type': 'application/json', ...made.headers}, body: made.body});
		const problem = assumeType<{type: string; detail: string; requestId: string}>(await res.json());
		assert.equal(res.headers.get('content-type'), 'application/problem+json', mistake);
		assert.deepEqual(
			{status: String(res.status), code: problem.type.split(':').at(-1), outcome: res.headers.get('mastvalve-outcome')},
			expected,
			`${mistake}: ${problem.detail}`,
		);
		assert.ok(problem.requestId, mistake);
	}));
});

/** Whether no engine runs anything. */
const areEnginesIdle = async (deployment: Deployment): Promise<boolean> => {
	const running = await Promise.all(deployment.listSidecars('model-service').map(async sidecar => {
		const account = await fetch(`${sidecar.endpointUrl}/admin/account`);
		return assumeType<{running: number}>(await account.json()).running;
	}));
	return running.every(count => count === 0);
};

/** Sends raw bytes to an entry and gives what came back until the connection ended. */
const sendRaw = async (deployment: Deployment, entry: string, bytes: string): Promise<string> =>
	new Promise(resolve => {
		const {hostname, port} = new URL(deployment.urlOf(entry));
		const socket = connect(Number(port), hostname);
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(received);
		});
		socket.end(bytes);
	});

Then('a content length that lies ends only its own connection', async function (this: ScenarioWorld) {
	const head = `POST ${chatPath} HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n`;
	await sendRaw(this.running, 'entry-1', `${head}Content-Length: 5000\r\n\r\n{}`);
	const answer = await sendRaw(this.running, 'entry-1', `${head}Content-Length: -5\r\n\r\n{}`);
	assert.match(answer, /^HTTP\/1\.1 400/v);
	await expectWholeChats(this.running, 'titles', 4);
});

Then('a caller that hangs up frees the endpoint', async function (this: ScenarioWorld) {
	const ending = new AbortController();
	const res = await fetch(`${this.running.urlOf('entry-1')}${chatPath}`, {
		method: 'POST',
		body: JSON.stringify({
			model: 'titles', stream: true, max_tokens: 5000, messages: [],
		}),
		signal: ending.signal,
	});
	await res.body?.getReader().read();
	ending.abort();
	await waitUntil('no engine runs anything', async () => areEnginesIdle(this.running));
});

Then('a caller that reads slowly gets its whole answer', async function (this: ScenarioWorld) {
	const tokens = 60;
	const res = await fetch(`${this.running.urlOf('entry-1')}${chatPath}`, {
		method: 'POST',
		body: JSON.stringify({
			model: 'titles', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'Which title stands at the desk?'}],
		}),
	});
	// Nothing is read until the engine has long finished its part.
	await waitUntil('the engines have nothing to do', async () => areEnginesIdle(this.running));
	const chat = await readChat(res);
	assert.deepEqual({isWhole: chat.isWhole, text: chat.text}, {isWhole: true, text: expectChat('titles', tokens)});
});

Then('every process still runs', function (this: ScenarioWorld) {
	this.running.children.forEach((child, name) => {
		assert.ok(child.isRunning, `${name} has ended`);
	});
});

const header = (replica: string, format: number) => ({
	format, replica, disk: '0a0b0c0d', clusterId: undefined, initialVoters: [],
});

/** Writes a journal and starts control-1 with it; what it printed and how it ended. */
const startWithJournal = async (deployment: Deployment, bytes: Uint8Array) => {
	const folder = assumeType<ControlInstance>(deployment.findInstance('control-1')).dataFolder;
	await mkdir(folder, {recursive: true});
	const file = join(folder, 'journal-0');
	await writeFile(file, bytes);
	const child = deployment.startInstance('control-1');
	return {child, file};
};

const expectRefusal = async (deployment: Deployment, bytes: Uint8Array, words: RegExp): Promise<void> => {
	const {child, file} = await startWithJournal(deployment, bytes);
	const finished = await child.waitForEnd();
	assert.equal(finished.code, 1, finished.stderr);
	assert.match(finished.stderr, words);
	assert.deepEqual(new Uint8Array(await readFile(file)), new Uint8Array(bytes), 'the journal was changed');
};

Then('control refuses a data folder of another instance', async function (this: ScenarioWorld) {
	await expectRefusal(this.running, encodeRecord(header('control-2', journalFormat)), /belongs to "control-2".*Nothing was changed/v);
});

Then('control refuses a data folder of a newer format', async function (this: ScenarioWorld) {
	await expectRefusal(this.running, encodeRecord(header('control-1', journalFormat + 1)), /has format 2.*Nothing was changed/v);
});

const record = (term: number) => encodeRecord({hardState: {term}, append: []});

Then('control refuses a journal that is damaged in the middle', async function (this: ScenarioWorld) {
	const damaged = record(1);
	damaged[12] = 0x7A;
	await expectRefusal(this.running, Buffer.concat([encodeRecord(header('control-1', journalFormat)), damaged, record(2)]), /damaged at byte \d+.*Nothing was changed/v);
});

Then('control cuts a torn last record and starts', async function (this: ScenarioWorld) {
	const whole = Buffer.concat([encodeRecord(header('control-1', journalFormat)), record(1)]);
	const {child, file} = await startWithJournal(this.running, whole);
	await child.kill();
	await appendFile(file, record(2).subarray(0, 20));
	const again = this.running.startInstance('control-1');
	await waitUntil('the cut is on the time line', async () => again.stderr.includes('20 bytes of a torn last record were cut'));
	await again.kill();
	assert.deepEqual(new Uint8Array(await readFile(file)), new Uint8Array(whole));
});

Then('control refuses a port in use', async function (this: ScenarioWorld) {
	const first = this.running.startInstance('control-1');
	await waitUntil('the first listens', async () => fetch(`${this.running.urlOf('control-1')}/healthz`));
	const second = await this.running.spawn('second', ['control', '--settings', this.running.settingsFile, '--instance', 'control-1']).waitForEnd();
	assert.equal(second.code, 1);
	assert.match(second.stderr, /another process listens there/v);
	await first.kill();
});
