/**
 * Which route a request takes: of its host's routes, the one with the longest prefix of the path.
 *
 * Prefixes start and end with a slash, so a path has few candidates, and a look-up costs the same for one route and for
 * thousands.
 */

import type {Route} from './route.js';

/** Identifies a route: no two of a configuration share host and prefix. */
export const keyOfRoute = ({host, pathPrefix}: Pick<Route, 'host' | 'pathPrefix'>): string => `${host}${pathPrefix}`;

/** Prefixes that may lead a path, the longest first. */
const listPrefixes = (path: string): string[] => {
	const segments = path.split('/').slice(0, -1);
	return segments.map((_, index) => `${segments.slice(0, segments.length - index).join('/')}/`);
};

/** The routes of one configuration; never changes. */
export class RouteTable {
	private readonly routes: ReadonlyMap<string, Route>;

	constructor(routes: Iterable<Route>) {
		this.routes = new Map(Array.from(routes, route => [keyOfRoute(route), route]));
	}

	get size(): number {
		return this.routes.size;
	}

	/** The route of a request, if there is one. */
	match(host: string, path: string): Route | undefined {
		const prefix = listPrefixes(path).find(each => this.routes.has(`${host}${each}`));
		return prefix === undefined ? undefined : this.routes.get(`${host}${prefix}`);
	}
}
