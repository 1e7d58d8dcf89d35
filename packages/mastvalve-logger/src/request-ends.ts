/**
 * Kinds of lines that tell how a request ended for its caller, answered ones excepted. An answer that promises that a request was not run has to be
 * found by its request, whatever the load.
 */

export const requestEndKinds: ReadonlySet<string> = new Set(['request.refused', 'request.given-up', 'request.expired', 'request.abandoned', 'connection.failed']);
