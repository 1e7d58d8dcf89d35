/**
 * How cucumber finds features and steps. The features of a package stand beside its `src`.
 */

import process from 'node:process';

const config = {
	paths: process.env.FEATURES?.split(' ') ?? ['features/**/*.feature', 'packages/*/__tests__/**/*.feature', 'platform/__tests__/**/*.feature'],
	import: ['features/support/**/*.ts', 'features/steps/**/*.ts', 'packages/*/__tests__/**/*.steps.ts', 'platform/__tests__/**/*.steps.ts'],
	format: ['progress', 'json:reports/cucumber.json'],
};

export default config;
