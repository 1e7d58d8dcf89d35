/**
 * What a proof is: a property under a failure, run with the real decisions and with broken ones.
 */

/** Which decisions a proof runs with. */
export enum Variant {
	/** A twin with one decision broken; the proof must find a violation. */
	Broken = 'broken',
	/** What mastvalve uses; the proof must find none. */
	Real = 'real',
}

/** What a run gave. */
export type ProofOutcome = {
	/** Cases that were run. */
	cases: number;
	/** 1 when a violation was found: the run ends with the first. */
	violations: number;
	/** The smallest case that shows it. */
	counterexample?: string;
};

/** The eight properties of the brief, in its order. */
export enum Property {
	Memory = 1,
	Reachable = 2,
	WholeAnswers = 3,
	RefusedNotRun = 4,
	AtMostOnce = 5,
	Leaving = 6,
	PlannedStop = 7,
	Configuration = 8,
}

/** How a run is seeded and how long it is. */
export type ProofRun = {seed: number; cases: number};

/** One proof. */
export type Proof = {
	property: Property;
	failure: string;
	scenario: string;
	/** What is broken in the twin. */
	twin: string;
	run: (variant: Variant, run: ProofRun) => Promise<ProofOutcome>;
};

/** A proof with both of its outcomes. */
export type ProofRow = Omit<Proof, 'run'> & {cases: number; brokenCases: number; brokenViolations: number; realViolations: number; counterexample?: string};
