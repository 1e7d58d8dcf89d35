/**
 * Whether a process still listens at an address.
 */

import {connect} from 'node:net';
import {assumeType} from 'mastvalve-utils';

/** What a connection attempt has shown. */
export enum ListenerState {
	/** Somebody listens. */
	Listening = 'listening',
	/** The instance is up, and nobody listens there: the process has ended. */
	NotListening = 'absent',
	/** Nothing came back: the instance is down or out of reach. */
	Unknown = 'unknown',
}

/** A connection within a region is up or refused in a few ms, ms. */
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
