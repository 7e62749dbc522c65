import { DataCentreState, type DataCentreIntent, type Snapshot } from '@sequoiafield/types';

/** Lowest weight of a data centre that is in; without it a returning one would never warm up. */
export const rampStartWeight = 0.05;

/**
 * Weight of a data centre, 0 (out) to 1 (full share). It is a pure function of the configuration
 * and the time since `changedAtUnixMs`, so that every caller ramps alike without messages.
 *
 * @example
 * // 15 s after it came back with a ramp of 30 s: 0.5
 * computeDataCentreWeight(intent, intent.changedAtUnixMs + 15_000);
 */
export const computeDataCentreWeight = (intent: DataCentreIntent, nowUnixMs: number): number => {
  if (intent.state === DataCentreState.Evacuated) return 0;
  if (intent.rampS <= 0) return 1;
  const share = (nowUnixMs - intent.changedAtUnixMs) / (intent.rampS * 1000);
  return Math.min(1, Math.max(rampStartWeight, share));
};

/** Weights of data centres in the configuration in force. */
export interface DataCentreWeights {
  /** 0 (out) to 1; an unknown data centre counts as out. */
  weightOf(snapshot: Snapshot, dataCentre: string, nowUnixMs: number): number;
}
