/**
 * Probes whether a process listens at an address.
 */

import {connect} from 'node:net';
import {assumeType} from 'mastvalve-utils';

/** Result of a connection attempt. */
export enum ListenerState {
	Listening = 'listening',
	/** The instance refused the connection: it is up, and the process has ended. */
	NotListening = 'absent',
	/** No response: the instance is down or unreachable. */
	Unknown = 'unknown',
}

/** Time-out of a probe, ms. Within a region a connection is accepted or refused in a few ms. */
const probeTimeoutMs = 400;

/** Opens a connection to `ip:port` and closes it; never throws. */
export const probeListener = async (address: string): Promise<ListenerState> =>
	new Promise(resolve => {
		const [host, port] = address.split(':');
		const socket = connect({host, port: Number(port)});
		const settle = (state: ListenerState): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(state);
		};

		const timer = setTimeout(settle, probeTimeoutMs, ListenerState.Unknown);
		socket.once('connect', () => {
			settle(ListenerState.Listening);
		});
		socket.on('error', error => {
			settle(assumeType<NodeJS.ErrnoException>(error).code === 'ECONNREFUSED' ? ListenerState.NotListening : ListenerState.Unknown);
		});
	});
