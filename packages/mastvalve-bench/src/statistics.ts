/**
 * Medians and slopes.
 */

/** A quantile of values, by the nearest rank. */
export const quantile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
};

/** A straight line through points by least squares, with the largest distance of a point from it. */
export type Fit = {intercept: number; slope: number; largestResidual: number};

/** Fits a line. */
export const fitLine = (points: ReadonlyArray<{x: number; y: number}>): Fit => {
	const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, {y}) => sum + y, 0) / points.length;
	const slope = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0) / points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const intercept = meanY - (slope * meanX);
	return {intercept, slope, largestResidual: Math.max(...points.map(({x, y}) => Math.abs(y - intercept - (slope * x))))};
};
