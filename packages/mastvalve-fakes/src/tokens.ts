/**
 * The text that a stand-in engine makes: the same for the same model and prompt, so that a resumed stream can be
 * compared with an unbroken one.
 */

import {hashToUint32} from 'mastvalve-utils';

const words = ['the', 'library', 'holds', 'a', 'signed', 'copy', 'of', 'this', 'clause', 'and', 'one', 'annex', 'for', 'each', 'reader', 'desk', 'seal', 'loan', 'title', 'page'];

/** Token `index` (from 0) of an answer. */
export const tokenAt = (model: string, prompt: string, index: number): string => {
	const word = words[hashToUint32(`${model}\n${prompt}\n${index}`) % words.length] ?? 'the';
	return index === 0 ? word : ` ${word}`;
};

/** A whole answer. */
export const writeAnswer = (model: string, prompt: string, count: number): string =>
	Array.from({length: count}, (_, index) => tokenAt(model, prompt, index)).join('');
