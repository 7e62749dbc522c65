import type { AttemptId } from '@sequoiafield/types';

/** Result of checking the open frame of an attempt. */
export enum AttemptCheckResult {
  Fresh = 'fresh',
  Duplicate = 'duplicate',
  WrongIncarnation = 'wrong-incarnation',
  DeadlinePassed = 'deadline-passed',
  DeadlineTooFar = 'deadline-too-far',
}

/** Decides whether an attempt may start; tests replace it to show what it prevents. */
export interface AttemptGuard {
  /** Checks an attempt and remembers it; times are on this node's monotonic clock. */
  check(attempt: AttemptId, deadlineAtMs: number, nowMs: number): AttemptCheckResult;
  /** Forgets attempts that can no longer start. */
  sweep(nowMs: number): void;
}
