/**
 * Runs a script's case within its time, ends what it started, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 */

import process from 'node:process';
import {Deployment, hasTrouble, Log} from './deployment.mjs';

const limitMs = 110_000;

/** `play` gets the deployment and the log; it resolves to the breaches that it has seen, one line each. It throws if the case can't run. */
export const runCase = async ({
	folder, controls, entries, play,
}) => {
	const log = new Log(`${folder}/record.txt`);
	log.add(hasTrouble ? 'with the disruption' : 'without the disruption');
	let deployment;
	const finish = async code => {
		await deployment?.stop();
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	};

	['SIGINT', 'SIGTERM'].forEach(signal => {
		process.once(signal, () => {
			finish(2);
		});
	});
	process.once('uncaughtException', error => {
		log.add(`the case couldn't run: ${error.stack}`);
		finish(2);
	});
	setTimeout(() => {
		log.add('the case has taken too long');
		finish(2);
	}, limitMs);
	try {
		deployment = await Deployment.create({controls, entries, log});
		const breaches = await play(deployment, log);
		breaches.forEach(breach => {
			log.add(`BROKEN ${breach}`);
		});
		const verdict = breaches.length > 0 ? `the rule was broken ${breaches.length} times` : 'the rule held';
		log.add(verdict);
		console.log(verdict);
		await finish(breaches.length > 0 ? 1 : 0);
	} catch (error) {
		log.add(`the case couldn't run: ${error.stack}`);
		console.log(`the case couldn't run: ${error.message}`);
		await finish(2);
	}
};
