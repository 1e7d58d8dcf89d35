/**
 * Resets a connection at once.
 */

import type {Socket} from 'node:net';
import {assumeType} from 'mastvalve-utils';

/** Sends RST without closing the connection regularly first, as `resetAndDestroy` would. */
export const resetConnection = (socket: Socket): void => {
	assumeType<{_handle: {reset: (done: () => void) => void}}>(socket)._handle.reset(() => {
		socket.destroy();
	});
};
