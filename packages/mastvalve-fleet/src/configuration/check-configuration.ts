/**
 * Validates a configuration beyond its schema.
 */

import type {Workspace} from 'mastvalve-access';
import {keyOfRoute} from './route-table.js';
import type {Route} from './route.js';
import type {ServingConfiguration} from './serving-configuration.js';

const checkRoute = (route: Route, services: ReadonlySet<string>): string[] => {
	const unknown = route.targets.filter(target => !services.has(target.service)).map(target => `route ${route.name} names the unknown service "${target.service}"`);
	const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
	return [
		...unknown,
		...(total > 0 ? [] : [`the weights of route ${route.name} sum to ${total}; at least one must be above 0`]),
		...(route.targets.every(target => target.weight >= 0) ? [] : [`route ${route.name} has a negative weight`]),
		...(isPrefix(route.pathPrefix) ? [] : [`the path prefix "${route.pathPrefix}" of route ${route.name} must start and end with a slash`]),
		...(route.timeoutMs > 0 ? [] : [`the timeout of route ${route.name} is ${route.timeoutMs} ms; it must be above 0`]),
	];
};

/** Returns keys that occur more than once, in linear time, since a configuration may have thousands of routes. */
const findDuplicates = (keys: readonly string[]): string[] => {
	const seen = new Set<string>();
	return [...new Set(keys.filter(key => seen.size === seen.add(key).size))];
};

const isPrefix = (prefix: string): boolean => prefix.startsWith('/') && prefix.endsWith('/');

/** Returns the findings on workspaces. A finding names workspaces, never a key or its digest. */
const checkWorkspaces = (workspaces: readonly Workspace[]): string[] => {
	const ownersByDigest = new Map<string, string>();
	const shared = workspaces.flatMap(({name, keyDigests}) => keyDigests.flatMap(digest => {
		const owner = ownersByDigest.get(digest) ?? name;
		ownersByDigest.set(digest, owner);
		return owner === name ? [] : [`the workspaces ${owner} and ${name} share a key`];
	}));
	return [
		...findDuplicates(workspaces.map(({name}) => name)).map(name => `two workspaces are named ${name}`),
		...new Set(shared),
		...workspaces.filter(({limit}) => limit && (limit.ratePerSecond < 0 || limit.burst < 0)).map(({name}) => `the workspace ${name} has a limit below 0`),
	];
};

/** Returns all findings; none when the configuration is valid. */
export const checkConfiguration = ({routes, services, workspaces}: ServingConfiguration): string[] => {
	const names = new Set(services.map(service => service.name));
	const sharedKeys = findDuplicates(routes.map(route => keyOfRoute(route)));
	return [
		...routes.flatMap(route => checkRoute(route, names)),
		...sharedKeys.map(key => `two routes share ${key}`),
		...checkWorkspaces(workspaces ?? []),
		...findDuplicates(services.map(service => service.name)).map(name => `two services are named ${name}`),
	];
};
