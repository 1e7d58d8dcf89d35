/**
 * What `mastvalve status` shows of control.
 */

import type {Configuration, EndpointReport} from 'mastvalve-types';

/** The leader's view. */
export type ControlStatus = {
	instance: string;
	clusterId: string;
	term: number;
	voters: string[];
	learners: string[];
	commitIndex: number;
	claims: number;
	configuration: Configuration;
	reports: EndpointReport[];
};
