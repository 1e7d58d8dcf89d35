/**
 * Exit codes of the command line; docs/operations/command-line.md lists them.
 */

/** What a command ends with. */
export enum ExitCode {
	Ok = 0,
	/** Something failed inside. */
	Failure = 1,
	/** The command line is wrong. */
	Usage = 2,
	/** A file has findings. */
	Findings = 3,
	/** Control can't be reached or has no majority. */
	Unavailable = 4,
	/** The ground has changed: a conflict of versions or a plan that would do something else now. */
	Conflict = 5,
	/** The plan or the request can't be carried out. */
	Refused = 6,
}

const codesByError: Readonly<Record<string, ExitCode>> = {
	'control-unavailable': ExitCode.Unavailable,
	'not-leader': ExitCode.Unavailable,
	'proposal-lost': ExitCode.Unavailable,
	'version-conflict': ExitCode.Conflict,
	'plan-changed': ExitCode.Conflict,
	'plan-refused': ExitCode.Refused,
	'unknown-plan': ExitCode.Refused,
	'unknown-name': ExitCode.Refused,
};

/** The exit code for an error. */
export const exitCodeOf = (code: string): ExitCode => codesByError[code] ?? ExitCode.Failure;
