import { DataCentreState, type DataCentreIntent, type Snapshot } from '@sequoiafield/types';

/** Lowest weight of a data centre in service; without it a restored one would never warm up. */
export const rampStartWeight = 0.05;

/**
 * Computes the weight of a data centre, 0 (evacuated) to 1 (full share). It is a pure function of the
 * configuration and the time since `changedAtUnixMs`, so that all callers use the same ramp without
 * exchanging messages.
 *
 * @example
 * // 15 s after it was restored with a ramp of 30 s: 0.5
 * computeDataCentreWeight(intent, intent.changedAtUnixMs + 15_000);
 */
export const computeDataCentreWeight = (intent: DataCentreIntent, nowUnixMs: number): number => {
  if (intent.state === DataCentreState.Evacuated) return 0;
  if (intent.rampS <= 0) return 1;
  const share = (nowUnixMs - intent.changedAtUnixMs) / (intent.rampS * 1000);
  return Math.min(1, Math.max(rampStartWeight, share));
};

/** Weights of data centres in the active configuration. */
export interface DataCentreWeights {
  /** Returns 0 (evacuated) to 1; an unknown data centre counts as evacuated. */
  weightOf(snapshot: Snapshot, dataCentre: string, nowUnixMs: number): number;
}
