/**
 * Keys of workspaces in the configuration history.
 */

/** Returns the key of a workspace. It starts with a character that no host contains, so it never equals the key of a route. */
export const keyOfWorkspace = (name: string): string => `\u{2}${name}`;
