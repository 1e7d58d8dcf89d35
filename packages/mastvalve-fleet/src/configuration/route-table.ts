/**
 * Matches a request to the route of its host with the longest path prefix.
 *
 * Prefixes start and end with a slash, so a path has few candidates, and the cost of a look-up does not depend on the number of
 * routes.
 */

import type {Route} from './route.js';

/** Returns the key of a route; no two routes of a configuration share host and prefix. */
export const keyOfRoute = ({host, pathPrefix}: Pick<Route, 'host' | 'pathPrefix'>): string => `${host}${pathPrefix}`;

/** Returns the possible prefixes of a path, the longest first. */
const listPrefixes = (path: string): string[] => {
	const segments = path.split('/').slice(0, -1);
	return segments.map((_, index) => `${segments.slice(0, segments.length - index).join('/')}/`);
};

/** The routes of one configuration; immutable. */
export class RouteTable {
	private readonly routes: ReadonlyMap<string, Route>;

	constructor(routes: Iterable<Route>) {
		this.routes = new Map(Array.from(routes, route => [keyOfRoute(route), route]));
	}

	get size(): number {
		return this.routes.size;
	}

	/** Returns the route of a request; undefined when none matches. */
	match(host: string, path: string): Route | undefined {
		const prefix = listPrefixes(path).find(each => this.routes.has(`${host}${each}`));
		return prefix === undefined ? undefined : this.routes.get(`${host}${prefix}`);
	}
}
