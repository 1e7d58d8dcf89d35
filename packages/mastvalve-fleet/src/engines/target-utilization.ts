/**
 * Share of their time that engines may work; the rest is for bursts.
 */

export const targetUtilization = 0.55;
