/**
 * Who a process is, in logs, metrics and the time line.
 */

/** Name and place of one process, from its settings. */
export type InstanceIdentity = {
	instance: string;
	failureDomain: string;
};
