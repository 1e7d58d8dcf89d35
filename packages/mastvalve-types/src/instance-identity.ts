/**
 * Identity of a process in logs, metrics and the timeline.
 */

/** Instance name and failure domain of a process, from its settings. */
export type InstanceIdentity = {
	instance: string;
	failureDomain: string;
};
