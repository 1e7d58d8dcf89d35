/**
 * How far what runs may exceed a limit, as operators set it.
 */

/** The tolerance: over any span of `windowMs` a workspace may have run `(rate x window + burst) x (1 + overage) + slack`. */
export type LimitTolerance = {windowMs: number; overage: number; slack: number};
