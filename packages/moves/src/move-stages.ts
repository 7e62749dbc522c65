/** Step of a move: the share of the new version from a point of the order's time on. */
export interface MoveStage {
  /** Part of the order's time, 0 to 1. */
  readonly fromFraction: number;
  /** Share of the service's calls, 0 to 1. */
  readonly share: number;
}

/**
 * Until the last stage a version has got 0.04 x 0.4 + 0.2 x 0.06 + 0.5 x 0.03 = 4.3 % of the calls that
 * callers send in the order's time. A bad version may get a tenth of those that reach the service, which
 * are a quarter fewer under overload, and one that fails under load only shows it at the last stage. The
 * last stage leaves half of the time for the old servers to empty and for the store.
 */
export const moveStages: readonly MoveStage[] = [
  { fromFraction: 0, share: 0.04 },
  { fromFraction: 0.4, share: 0.2 },
  { fromFraction: 0.46, share: 0.5 },
  { fromFraction: 0.49, share: 1 },
];

/** Index of the stage with all calls on the new version. */
export const lastStageIndex = moveStages.length - 1;

/** Steps of the register of a move; a higher one replaces a lower one. */
export const rolledBackStep = 14;
/** Above `rolledBackStep`: the store already holds it, and the old servers stop. */
export const completedStep = 15;
const stepsPerOrder = 16;

/** Rank of a step of an order; orders of a service follow each other by revision. */
export const registerRankOf = (orderRevision: number, step: number): number =>
  orderRevision * stepsPerOrder + step;

/** Step of an order by the rank of its register; undefined if the rank is of another order. */
export const registerStepOf = (orderRevision: number, rank: number): number | undefined => {
  const step = rank - orderRevision * stepsPerOrder;
  return step >= 0 && step < stepsPerOrder ? step : undefined;
};
