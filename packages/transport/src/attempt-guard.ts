import type { AttemptId } from '@sequoiafield/types';

/** Result of checking the open frame of an attempt. */
export enum AttemptCheckResult {
  Fresh = 'fresh',
  Duplicate = 'duplicate',
  WrongIncarnation = 'wrong-incarnation',
  DeadlinePassed = 'deadline-passed',
  DeadlineTooFar = 'deadline-too-far',
  /** The sender's times cannot be converted, or seem to be too old. */
  ClockUnknown = 'clock-unknown',
}

/** Decides whether an attempt may start; tests replace it to show which violation it prevents. */
export interface AttemptGuard {
  /** Checks an attempt and records its id; times are on this node's monotonic clock. */
  check(attempt: AttemptId, deadlineAtMs: number, nowMs: number): AttemptCheckResult;
  /** Removes the ids of attempts that can no longer start. */
  sweep(nowMs: number): void;
}
