import type { RefusalReason } from '@sequoiafield/types';

/** Decides which calls of a backend version are refused. */
export interface VersionGuard {
  /** Returns the reason to refuse a call, or undefined; `uniformSample` is in [0, 1). */
  reasonToRefuse(
    service: string,
    backendVersion: string,
    uniformSample: number,
  ): RefusalReason | undefined;
}

/** Clock skew between callers and this node that causes no refusals. */
export const clockSkewToleranceMs = 2000;
/** The observed share may exceed the allowed one by this factor plus `shareTolerancePercent` points. */
export const shareToleranceRatio = 1.25;
export const shareTolerancePercent = 2;
