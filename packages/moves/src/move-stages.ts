/** Stage of a move: the share of the new version from a point of the order's duration on. */
export interface MoveStage {
  /** Start of the stage as a fraction of the order's duration, 0 to 1. */
  readonly fromFraction: number;
  /** Share of the service's calls, 0 to 1. */
  readonly share: number;
}

/**
 * Stages of a move. Before the last stage, a version gets 0.04 x 0.4 + 0.2 x 0.06 + 0.5 x 0.03 = 4.3 %
 * of the calls that callers send during the order's duration. A bad version may get a tenth of the
 * calls that reach the service, which are a quarter fewer under overload, and a version that fails only
 * under load shows it at the last stage. The last stage leaves half of the duration to drain the old
 * servers and to write to the store.
 */
export const moveStages: readonly MoveStage[] = [
  { fromFraction: 0, share: 0.04 },
  { fromFraction: 0.4, share: 0.2 },
  { fromFraction: 0.46, share: 0.5 },
  { fromFraction: 0.49, share: 1 },
];

/** Index of the stage with all calls on the new version. */
export const lastStageIndex = moveStages.length - 1;

/** Register step of a rollback; it is above all stages, since a higher step replaces a lower one. */
export const rolledBackStep = 14;
/**
 * Register step of a completed move. It is above `rolledBackStep`, since the store already holds the
 * outcome and the old servers stop.
 */
export const completedStep = 15;
const stepsPerOrder = 16;

/** Register rank of a service without an order. */
export const noOrderRank = 0;

/** Register rank of a step of an order; a later order of a service has a higher rank. */
export const registerRankOf = (orderRevision: number, step: number): number =>
  orderRevision * stepsPerOrder + step;

/** Revision of the order to which the rank of a register belongs. */
export const orderRevisionOf = (rank: number): number => Math.floor(rank / stepsPerOrder);

/** Step of an order by the rank of its register; undefined if the rank belongs to another order. */
export const registerStepOf = (orderRevision: number, rank: number): number | undefined => {
  const step = rank - orderRevision * stepsPerOrder;
  return step >= 0 && step < stepsPerOrder ? step : undefined;
};
