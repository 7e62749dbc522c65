import type { Priority } from '@sequoiafield/types';

/** Call that waits in the queue for a slot. */
export interface QueueEntry {
  readonly priority: Priority;
  readonly route: string;
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
}

/** Queue of calls: defines their order and which one is dropped when the queue is full. */
export interface CallQueue<Call extends QueueEntry> {
  readonly size: number;
  /** Counts the queued calls that start before a new call of this priority. */
  countAhead(priority: Priority): number;
  /** Adds the call; returns the call dropped for it, which may be the new one itself. */
  push(call: Call, sizeMax: number): Call | undefined;
  shift(): Call | undefined;
  remove(call: Call): void;
  all(): readonly Call[];
}
