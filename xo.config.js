/**
 * XO's settings. A rule is off only where the house style contradicts it or where two rules contradict each other;
 * docs/HOUSE-STYLE.md gives the reason for each.
 */
const retiredNames = new RegExp(`^(?:${[
	String.raw`[Ll]one[A-Z]\w*|patience(?:Of|End)|claimRoom|recordRoom|waitForRoom|roomAt|roomIn|goAlone|decideAlone`,
	'EngineDesk|EngineDirector|EngineMover|EngineRound|OrderTurns|FleetDuties|QuarantineClock|SureMoment|ProvenMoment|Evidence|[Jj]udgeAccess',
	'EndpointBoard|EndpointKnowledge|EndpointUse|HeadTimes|RetryAllowance|RetryBounds|forgetEnded|CrashWatch|SourceChoice|ConfigurationDraft',
	'LimitWord(?:Kind)?|ToldWord|HandoverClaim|HandoverGrant|LeaderAccount|AccountMoment|LocalLimits|LocalRates|FormerGrant|KeptAnswer',
	'chooseNow|learnFromHead|giveUp|endOrRetry|refuseQuarantined|hasTries|OwnAnswer|onceOver|silentObserver|persistUntilTaken',
	'DemandStep|anticipateRates|StoreRate|PeerSearch|MembershipDuty|LeaderAccess|SilenceWatch|SuspensionWatch|quietSince',
].join('|')})$`, 'v');

const config = [
	{ignores: ['dist/**', 'reports/**', '**/__snapshots__/**', 'target/**', 'journal/**']},
	{
		rules: {
			// House style: control flow by array methods, short names where custom has them.
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prevent-abbreviations': 'off',
			// `constructor(private readonly x: X) {}` can't satisfy both this rule and unicorn/empty-brace-spaces.
			'@stylistic/curly-newline': 'off',
			// Terms that docs/GLOSSARY.md has replaced.
			'no-restricted-syntax': ['error', 'WithStatement', {
				selector: `Identifier[name=/${retiredNames.source}/]`,
				message: 'docs/GLOSSARY.md names the term that took the place of this one.',
			}],
		},
	},
	{
		// Names of TOML keys (snake case by custom), of OpenAI's interface, of metrics' labels, and tables keyed by characters or numbers.
		files: [
			'packages/mastvalve-settings/src/*-schema.ts',
			'packages/mastvalve-entry/src/server/model-routes.ts',
			'packages/mastvalve-fakes/src/fake-engine.ts',
			'packages/mastvalve-http/src/problem-response.ts',
			'packages/mastvalve-http/src/program-context.ts',
			'packages/mastvalve-bench/src/nodes/nodes-bench.ts',
			'packages/mastvalve/src/timeline/render-timeline.ts',
			'features/**/*.ts',
			'packages/*/__tests__/**/*.ts',
			'platform/**/*.ts',
			'packages/mastvalve-gateway/src/upstream/exchange.ts',
		],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// Cucumber's own functions begin with capitals.
		files: ['features/**/*.ts', 'packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
		rules: {'new-cap': 'off'},
	},
	{
		// The command line's rim: it must end its process with an exit code.
		files: ['packages/mastvalve/src/bin.ts', 'packages/mastvalve/src/cli/run-program.ts', 'platform/src/main.ts'],
		rules: {'unicorn/no-process-exit': 'off', 'unicorn/prefer-top-level-await': 'off'},
	},
];

export default config;
