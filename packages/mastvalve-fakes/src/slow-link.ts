/**
 * A link with a bandwidth before an address: a loopback proxy whose connections share so many bytes a second each way.
 */

import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as setTimer} from 'node:timers/promises';

/** One direction: bytes wait until those before them have passed. */
class Lane {
	bytes = 0;
	private freeAt = 0;

	constructor(private readonly bytesPerSecond: number) {}

	/** Passes everything on from one socket to another, at the lane's speed. */
	carry(from: Socket, to: Socket): void {
		from.on('data', chunk => {
			from.pause();
			this.bytes += chunk.length;
			void this.waitFor(chunk.length).then(() => {
				to.write(chunk);
				from.resume();
			});
		});
	}

	private async waitFor(bytes: number): Promise<void> {
		const now = performance.now();
		this.freeAt = Math.max(this.freeAt, now) + (bytes / this.bytesPerSecond * 1000);
		await setTimer(this.freeAt - now);
	}
}

/** The link. */
export class SlowLink {
	static async open(listen: string, target: string, bytesPerSecond: number): Promise<SlowLink> {
		const link = new SlowLink(target, bytesPerSecond);
		const [host, port] = listen.split(':');
		await new Promise<void>(resolve => {
			link.server.listen(Number(port), host, resolve);
		});
		return link;
	}

	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private readonly there: Lane;
	private readonly back: Lane;

	private constructor(private readonly target: string, bytesPerSecond: number) {
		this.there = new Lane(bytesPerSecond);
		this.back = new Lane(bytesPerSecond);
		this.server = createServer(socket => {
			this.join(socket);
		});
	}

	/** Bytes that have come back from the target. */
	get bytesBack(): number {
		return this.back.bytes;
	}

	/** Ends all connections; new ones may be made. */
	breakConnections(): void {
		[...this.sockets].forEach(socket => {
			socket.destroy();
		});
	}

	close(): void {
		this.server.close();
		this.breakConnections();
	}

	private join(near: Socket): void {
		const [host, port] = this.target.split(':');
		const far = connect(Number(port), host);
		[near, far].forEach(socket => {
			const other = socket === near ? far : near;
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.sockets.delete(socket);
				other.destroy();
			});
		});
		this.there.carry(near, far);
		this.back.carry(far, near);
	}
}
