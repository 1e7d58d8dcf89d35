/**
 * Plain-text tables for terminal output.
 */

/** Pads the cells to aligned columns. The first row determines the number of columns that are padded. */
export const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => (row[column] ?? '').length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n');
};
