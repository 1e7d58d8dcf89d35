/**
 * Callers of the small deployment.
 */

import {strict as assert} from 'node:assert';
import {writeAnswer} from 'mastvalve-fakes';
import {assumeType} from 'mastvalve-utils';
import {v7} from 'uuid';
import type {Deployment} from './deployment.js';

const question = 'Which title stands at the desk?';

/** What an engine writes for the chats below. */
export const expectChat = (model: string, tokens: number): string => writeAnswer(model, `user: ${question}`, tokens);

/** A chat after its end: whether its end mark came, its text, and who answered. */
export type Chat = {isWhole: boolean; text: string; endpoint: string; status: number};

type Chunk = {choices: Array<{delta: {content?: string}}>};

/** Reads a stream to its end. */
export const readChat = async (res: Response, onChunk?: () => void): Promise<Chat> => {
	const chat: Chat = {
		isWhole: false, text: '', endpoint: res.headers.get('mastvalve-endpoint') ?? '', status: res.status,
	};
	try {
		const decoder = new TextDecoder();
		let raw = '';
		for await (const bytes of assumeType<AsyncIterable<Uint8Array>>(res.body)) {
			raw += decoder.decode(bytes, {stream: true});
			onChunk?.();
		}

		const data = raw.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
		chat.isWhole = data.at(-1) === '[DONE]';
		chat.text = data.filter(line => line.startsWith('{"id"')).map(line => assumeType<Chunk>(JSON.parse(line)).choices[0]?.delta.content ?? '').join('');
	} catch {
		chat.isWhole = false;
	}

	return chat;
};

/** What to chat about; `onChunk` is called with every chunk that arrives. */
export type ChatRequest = {entry: string; model: string; tokens: number; onChunk?: () => void};

/** Streams one chat to its end. */
export const streamChat = async (deployment: Deployment, {entry, model, tokens, onChunk}: ChatRequest): Promise<Chat> => {
	const res = await fetch(`${deployment.urlOf(entry)}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			model, stream: true, max_tokens: tokens, messages: [{role: 'user', content: question}],
		}),
	});
	return readChat(res, onChunk);
};

/** Streams chats through every entry and checks that all are whole and right. */
export const expectWholeChats = async (deployment: Deployment, model: string, tokens: number): Promise<Chat[]> => {
	const chats = await Promise.all(deployment.listEntries().map(async entry => streamChat(deployment, {entry: entry.name, model, tokens})));
	chats.forEach(chat => {
		assert.deepEqual({isWhole: chat.isWhole, text: chat.text}, {isWhole: true, text: expectChat(model, tokens)});
	});
	return chats;
};

/** A loan with its key. */
export type Loan = {key: string; body: string};

/** A new loan with a new key. */
export const createLoan = (title: string): Loan => ({key: v7(), body: JSON.stringify({title})});

/** The answer to a loan. */
export type LoanAnswer = {status: number; outcome: string; code: string; body: string; isReplay: boolean};

/** Records a loan at the desk. */
export const recordLoan = async (deployment: Deployment, entry: string, loan: Loan): Promise<LoanAnswer> => {
	const res = await fetch(`${deployment.urlOf(entry)}/services/desk/loans`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'idempotency-key': loan.key},
		body: loan.body,
	});
	const body = await res.text();
	const {type = ''} = assumeType<{type?: string}>(JSON.parse(body));
	return {
		status: res.status,
		outcome: res.headers.get('mastvalve-outcome') ?? '',
		code: type.split(':').at(-1) ?? '',
		body,
		isReplay: res.headers.get('idempotency-replayed') === 'true',
	};
};

/** How often a loan took effect at the desk. */
export const countEffects = async (deployment: Deployment, loan: Loan): Promise<number> => {
	const [desk] = deployment.listSidecars('desk');
	const res = await fetch(`${desk?.endpointUrl ?? ''}/effects`);
	const effects = assumeType<Record<string, number>>(await res.json());
	return effects[`/loans ${loan.body}`] ?? 0;
};
