import type { MoveIntent } from '@sequoiafield/types';

/** Share of the new version at each stage, in percent. */
export const stagePercents = [1, 2, 5, 10, 25, 50, 100] as const;
/** Number of stages; a move is done once its proven stage is this number. */
export const stageCount = stagePercents.length;
/** Stages (1, 2 and 5 %) during which the version counts as unproven. */
export const unprovenStageCount = 3;
/** Fraction of the time from start to finish after which the plan reaches 100 %. */
export const plannedFullAtFraction = 0.9;

/**
 * Share that the operators' plan allows, in percent: it rises linearly from the start of the move and
 * reaches 100 % at 90 % of its time.
 *
 * @example
 * plannedPercent(intent, intent.startAtUnixMs); // 0
 */
export const plannedPercent = (intent: MoveIntent, nowUnixMs: number): number => {
  const elapsedMs = nowUnixMs - intent.startAtUnixMs;
  if (elapsedMs <= 0) return 0;
  const fullAfterMs = (intent.finishByUnixMs - intent.startAtUnixMs) * plannedFullAtFraction;
  return elapsedMs >= fullAfterMs ? 100 : (elapsedMs / fullAfterMs) * 100;
};

/**
 * Highest share, in percent, with `provenStage` stages proven; in the first three stages it is also
 * limited by the intent's cap for unproven versions.
 *
 * @example
 * stageCapPercent(intent, 0); // 1
 * stageCapPercent(intent, 7); // 100
 */
export const stageCapPercent = (intent: MoveIntent, provenStage: number): number => {
  const stage = Math.min(Math.max(0, Math.trunc(provenStage)), stageCount - 1);
  const percent = stagePercents[stage] ?? 100;
  return stage < unprovenStageCount ? Math.min(percent, intent.unprovenCapPercent) : percent;
};

/** Computes a share from intent, time and proven stage; replaced in tests and by the baseline. */
export interface SharePolicy {
  /** Share of the new version in percent, 0 to 100. */
  sharePercent(intent: MoveIntent, nowUnixMs: number, provenStage: number): number;
}

/**
 * Share of the new version in percent: the planned share, limited by the proven stage. It is a pure
 * function, so nodes with the same input compute the same share without exchanging messages.
 *
 * @example
 * sharePercent(intent, Date.now(), 2); // at most 5
 */
export const sharePercent = (intent: MoveIntent, nowUnixMs: number, provenStage: number): number =>
  Math.min(plannedPercent(intent, nowUnixMs), stageCapPercent(intent, provenStage));

/** Default policy: the smaller one of the planned share and the cap of the stage. */
export class PlannedSharePolicy implements SharePolicy {
  sharePercent(intent: MoveIntent, nowUnixMs: number, provenStage: number): number {
    return sharePercent(intent, nowUnixMs, provenStage);
  }
}
