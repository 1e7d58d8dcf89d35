/**
 * XO's settings. Rules are off only where the house style contradicts them
 * (array methods, short names, one type each) or where they police libraries' shapes; see docs/HOUSE-STYLE.md.
 */
const config = [
	{ignores: ['dist/**', 'reports/**', '**/__snapshots__/**']},
	{
		rules: {
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prevent-abbreviations': 'off',
		},
	},
];

export default config;
