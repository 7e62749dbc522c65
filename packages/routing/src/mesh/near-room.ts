import { MemberState, type MemberRow } from '@sequoiafield/types';
import type { MemberLoadEstimate } from './member-load-tracker.js';
import type { ServiceBaseline } from './service-baseline.js';

/** Excess of the failure ratio over the typical one above which a member counts as failing. */
const excessFailureRatioMax = 0.25;
/** Factor of the typical service time above which a member counts as slow. */
const slownessMax = 2;

/**
 * Whether a member of the own data centre has room for a call, so that the call need not leave the data
 * centre. A member that fails or is slow has none, whatever its slots are. Answers demand that moves
 * between data centres: calls spill over only from a data centre that is full, and come back as soon as
 * it has room, and a comparison of small differences does not send them back and forth.
 */
export const hasNearRoom = (
  { state }: MemberRow,
  { calls, slots, failureRatio, meanServiceMs }: MemberLoadEstimate,
  baseline: ServiceBaseline,
): boolean =>
  state !== MemberState.Suspect &&
  calls < slots &&
  failureRatio <= baseline.failureRatio + excessFailureRatioMax &&
  meanServiceMs <= slownessMax * baseline.serviceMs;
