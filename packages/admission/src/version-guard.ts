import type { RefusalReason } from '@sequoiafield/types';

/** Refuses calls that a backend version must not get. */
export interface VersionGuard {
  /** Reason to refuse a call of the version, or undefined; `roll` is uniform in [0, 1). */
  reasonToRefuse(service: string, backendVersion: string, roll: number): RefusalReason | undefined;
}

/** Skew between the clocks of callers and this node that must not cause refusals. */
export const clockSkewMs = 2000;
/** Observed share may exceed the allowed one by this factor and by these points. */
export const shareToleranceRatio = 1.25;
export const shareTolerancePercent = 2;
