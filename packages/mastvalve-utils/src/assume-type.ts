/**
 * The only unchecked type assertion, for values that enter from outside the type system.
 */

/**
 * Asserts that a value is a `T` without checking it. Meant for JSON from this project's own processes, for protocols
 * with a documented shape and for properties of thrown values. User input is validated against schemas instead.
 */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
export const assumeType = <T>(value: unknown): T => value as T;
