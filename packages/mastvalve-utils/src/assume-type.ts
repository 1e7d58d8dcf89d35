/**
 * The one place where data from outside the type system is given a type without a check.
 */

/**
 * Takes a value for a `T`. For JSON of our own processes and of protocols whose shape is documented, and for
 * properties of thrown values; what people write is checked by schemas instead.
 */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
export const assumeType = <T>(value: unknown): T => value as T;
