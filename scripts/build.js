/**
 * Builds mastvalve: one bundle, and from it one binary (a Node single executable).
 *
 * `--bundle-only` leaves out the binary, which the tests and `npm start` don't need.
 */

import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const sentinel = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Messages of findings are our own, so zod's 50 other languages stay out. */
const onlyEnglish = {
	name: 'only-english',
	setup(bundler) {
		// The bundler reads this expression as Go does, which knows no flags.
		// eslint-disable-next-line require-unicode-regexp
		bundler.onLoad({filter: /zod.v4.locales.index\.js$/}, () => ({contents: 'export {default as en} from \'./en.js\';', loader: 'js'}));
	},
};

await build({
	entryPoints: ['packages/mastvalve/src/bin.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile: 'dist/mastvalve.cjs',
	// A third of a small process's anonymous memory was source text and what V8 keeps of it; see docs/CAPACITY.md.
	minify: true,
	keepNames: false,
	plugins: [onlyEnglish],
	legalComments: 'none',
	logLevel: 'warning',
});

if (!process.argv.includes('--bundle-only')) {
	writeFileSync('dist/sea.json', JSON.stringify({
		main: 'dist/mastvalve.cjs',
		output: 'dist/mastvalve.blob',
		disableExperimentalSEAWarning: true,
		useCodeCache: true,
	}));
	execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'ignore'});
	copyFileSync(process.execPath, 'dist/mastvalve');
	chmodSync('dist/mastvalve', 0o755);
	const {readFileSync} = await import('node:fs');
	await inject('dist/mastvalve', 'NODE_SEA_BLOB', readFileSync('dist/mastvalve.blob'), {sentinelFuse: sentinel});
	process.stdout.write('dist/mastvalve is built\n');
}
