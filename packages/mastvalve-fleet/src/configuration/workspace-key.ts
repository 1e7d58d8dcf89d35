/**
 * The key of a workspace among the parts of a configuration.
 */

/** Begins with a sign that no host contains, so it is no route's key. */
export const keyOfWorkspace = (name: string): string => `\u{2}${name}`;
