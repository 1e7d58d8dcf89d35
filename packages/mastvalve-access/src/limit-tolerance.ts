/**
 * Tolerance by which actual usage may exceed a limit, as set by operators.
 */

/** Over any span of `windowMs` a workspace may use `(rate x window + burst) x (1 + overage) + slack`. */
export type LimitTolerance = {windowMs: number; overage: number; slack: number};
