/**
 * Surplus answers that arrive late, in the place of the next one due. The replica is full now and then; the surplus answer is a copy of such a refusal.
 */

import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {hasTrouble} from '../stand-ins/deployment.mjs';
import {CheckIns} from '../stand-ins/check-ins.mjs';
import {formatAnswer, readRequests} from '../stand-ins/requests.mjs';
import {send} from '../stand-ins/consumer.mjs';
import {runCase} from '../stand-ins/run-case.mjs';

const host = 'desk.example';
const entries = 3;
/** Bounds of the work of a request, ms; its mean is that of a sealing call. */
const minWorkMs = 20;
const maxWorkMs = 150;
/** Work at a time; a replica of the service turns away what comes beyond it. */
const slots = 6;
/** Mean time between two requests, ms: the replicas are full now and then. */
const meanGapMs = 10;
/** One of the two replicas sends surplus answers, for this long and to this share of all that it answers. */
const garbleMs = 5000;
const garbleShare = 0.03;

/** A replica of the application service. */
class Replica {
	/** Attempt ids that it has begun to run. */
	runs = [];
	answers = 0;
	surpluses = 0;
	running = 0;
	isGarbling = false;

	constructor({id, address, controls, log}) {
		Object.assign(this, {id, log});
		this.server = createServer(socket => {
			this.serve(socket);
		}).listen(address.port, address.host);
		this.checkIns = new CheckIns({id, controls, fields: {service: 'lada', address: `${address.host}:${address.port}`, slots}});
		this.checkIns.start();
	}

	close() {
		this.checkIns.stop();
		this.server.close();
	}

	serve(socket) {
		/** An answer that is sent once more, in the place of the next one on this channel. */
		let surplus;
		readRequests(socket, ({headers}) => {
			const attemptId = headers['attempt-id'];
			if (headers['expect-instance'] !== this.id) {
				socket.write(formatAnswer(421, 'Misdirected Request', {'Attempt-Id': attemptId, 'Not-Executed': '1'}, ''));
				return;
			}

			if (surplus !== undefined) {
				this.log.add(`${this.id}: a surplus answer goes out late, in the place of that to ${attemptId}: 503, Not-Executed, Attempt-Id ${surplus.attemptId}`);
				socket.write(surplus.answer);
				surplus = undefined;
			}

			this.answers += 1;
			if (this.running < slots) {
				this.run(socket, attemptId);
				return;
			}

			const answer = formatAnswer(503, 'Service Unavailable', {'Attempt-Id': attemptId, 'Not-Executed': '1', 'Instance-Load': `${slots},0,${slots}`}, '');
			this.log.add(`${this.id}: is full; answers ${attemptId} with 503, Not-Executed, and doesn't run it`);
			socket.write(answer);
			if (this.isGarbling && this.surpluses + 1 <= garbleShare * this.answers) {
				this.surpluses += 1;
				surplus = {attemptId, answer};
			}
		});
	}

	run(socket, attemptId) {
		this.log.add(`${this.id}: runs ${attemptId}`);
		this.runs.push(attemptId);
		this.running += 1;
		setTimeout(() => {
			this.running -= 1;
			socket.write(formatAnswer(200, 'OK', {'Attempt-Id': attemptId, 'Response-Stamp': `${this.id}.${attemptId}`, 'Instance-Load': `${this.running},0,${slots}`}, `done ${attemptId}`));
		}, minWorkMs + (Math.random() * (maxWorkMs - minWorkMs)));
	}
}

const configuration = {
	version: 1,
	routes: [['loan', 2], ['fine', 1]].map(([name, attempts]) => ({
		name, host, 'path-prefix': `/${name}/`, kind: 'unsafe', 'timeout-ms': 1500, 'goal-ms': 100, priority: 2, service: 'lada', attempts, sticky: false, 'can-resume': false,
	})),
	services: [{
		name: 'lada', 'health-path': '/health', 'max-conns': 96, protocol: 'h1', tls: false,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

await runCase({
	folder: 'review/1',
	controls: 3,
	entries,
	async play(deployment, log) {
		deployment.startAll();
		if (!await deployment.configure(configuration) || !await deployment.waitUntilReady()) {
			throw new Error('the system does not start');
		}

		const replicas = await Promise.all([1, 2].map(async index => new Replica({
			id: `i-replica${index}`, address: await deployment.findReplicaAddress(index), controls: deployment.controlAddresses, log,
		})));
		await sleep(2000);
		const [garbling] = replicas;
		const requests = [];
		const startedAt = performance.now();
		garbling.isGarbling = hasTrouble;
		log.add(hasTrouble ? `${garbling.id} begins to send surplus answers` : 'no replica sends surplus answers');
		while (performance.now() < startedAt + garbleMs) {
			const path = requests.length % 5 === 0 ? '/fine/1' : '/loan/1';
			requests.push(send({
				address: deployment.entryAddresses[Math.floor(Math.random() * entries)], host, path, body: 'one operation', deadlineMs: 1500,
			}).then(answer => {
				log.add(`consumer: ${answer.attemptId} to ${path} gets ${answer.status === 0 ? 'no answer' : answer.status}`);
				return answer;
			}));
			// eslint-disable-next-line no-await-in-loop
			await sleep(2 * meanGapMs * Math.random());
		}

		garbling.isGarbling = false;
		const answers = await Promise.all(requests);
		await sleep(500);
		replicas.forEach(replica => {
			replica.close();
		});
		const countRuns = attemptId => replicas.flatMap(({runs}) => runs).filter(run => run === attemptId).length;
		const served = answers.filter(({status}) => status === 200).length;
		log.add(`${answers.length} requests, ${served} answered with 200; ${garbling.id} gave ${garbling.answers} answers and ${garbling.surpluses} surplus ones`);
		if (served === 0 || (hasTrouble && garbling.surpluses === 0)) {
			throw new Error(served === 0 ? 'nothing was served' : 'no replica was full, so no surplus answer was sent');
		}

		return answers.flatMap(({attemptId, status}) => {
			const runs = countRuns(attemptId);
			return [
				...(runs > 1 ? [`TWICE: ${attemptId}, which is not idempotent, has run ${runs} times; its consumer got ${status}`] : []),
				...(runs > 0 && [408, 421, 429, 503].includes(status) ? [`REFUSED: ${attemptId}, which is not idempotent, has run and gets ${status}`] : []),
			];
		});
	},
});
