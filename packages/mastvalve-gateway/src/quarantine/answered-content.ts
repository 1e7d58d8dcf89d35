/**
 * Remembers which requests and which parts of prompts were recently answered, and how many crashes had happened when they were sent.
 */

import {BoundedMap} from 'mastvalve-utils';

/** The newest crashes that an entry knew of at some moment. */
export type CrashMark = {
	/** Number by control's count, as far as the entry had heard; 0 if there is none. */
	shared: number;
	/** Number by the entry's own count. */
	local: number;
};

/** What is remembered of one request or part. */
export type AnsweredContent = {
	/** Requests that were answered. */
	successes: number;
	/** When the last one was, monotonic ms. */
	at: number;
	/** When the last one that was answered whole was sent. */
	answered: CrashMark;
	/** When the last one whose answer went on after its beginning was sent. */
	begun: CrashMark;
};

/** Maximum number of requests and parts; those that many callers send are among the most recent. */
const maxContents = 8192;
/** Time after which an answer says nothing any more, ms: the endpoints may run another software version by then. */
const answeredTtlMs = 60_000;

const noCrash: CrashMark = {shared: 0, local: 0};

const latest = (first: CrashMark, second: CrashMark): CrashMark =>
	({shared: Math.max(first.shared, second.shared), local: Math.max(first.local, second.local)});

export class AnsweredContents {
	private readonly contents = new BoundedMap<string, AnsweredContent>(maxContents);

	/** `now` is a monotonic clock, ms. */
	constructor(private readonly now: () => number) {}

	/** Returns what was answered recently. */
	get(fingerprint: string): AnsweredContent | undefined {
		const content = this.contents.get(fingerprint);
		return content && this.now() - content.at < answeredTtlMs ? content : undefined;
	}

	/** Records a request that was answered whole; `isCounted` is whether its beginning was recorded. */
	recordAnswered(fingerprint: string, sentAt: CrashMark, isCounted: boolean): void {
		const known = this.get(fingerprint);
		this.contents.set(fingerprint, {
			successes: (known?.successes ?? 0) + (isCounted ? 0 : 1), at: this.now(), answered: latest(known?.answered ?? noCrash, sentAt), begun: latest(known?.begun ?? noCrash, sentAt),
		});
	}

	/** Records a request whose answer has gone on after its beginning. */
	recordBegun(fingerprint: string, sentAt: CrashMark): void {
		const known = this.get(fingerprint);
		this.contents.set(fingerprint, {
			successes: (known?.successes ?? 0) + 1, at: this.now(), answered: known?.answered ?? noCrash, begun: latest(known?.begun ?? noCrash, sentAt),
		});
	}
}
