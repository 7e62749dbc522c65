import type { AdmissionResult, CallOpen, CallRefusal } from '@sequoiafield/types';
import type { DueTimeEntry } from '../due-time-queue.js';
import type { ServiceTimes } from '../service-times.js';

/** What a scheduler needs to know about the backend server. */
export interface ServerObservation {
  readonly runningCalls: number;
  /** Calls that may run at a time. */
  readonly slots: number;
  readonly serviceTimes: ServiceTimes;
  /** When the last service time was recorded, on the monotonic clock. */
  readonly serviceTimeRecordedAtMs: number;
}

/** Call that asks for a slot. */
export interface ArrivingCall {
  readonly open: CallOpen;
  readonly deadlineAtMs: number;
}

/** Call that waits for a slot; `dueAtMs` is its place in the queue. */
export interface QueuedCall extends ArrivingCall, DueTimeEntry {
  settle(result: AdmissionResult): void;
}

/** Decides which calls may wait for a slot of one server, and which of them starts next. */
export interface CallScheduler {
  /** Number of calls that wait. */
  readonly size: number;
  all(): readonly QueuedCall[];
  /** Returns why a call that just arrived is refused, or undefined if it may start or wait. */
  checkArrival(call: ArrivingCall, nowMs: number): CallRefusal | undefined;
  /** Returns why a call that has waited is refused, or undefined if it may start or wait on. */
  checkWaiting(call: QueuedCall, nowMs: number, areOthersQueued: boolean): CallRefusal | undefined;
  push(call: ArrivingCall, nowMs: number, settle: QueuedCall['settle']): QueuedCall;
  /** Removes and returns the call that starts next, or undefined if none waits. */
  shift(nowMs: number): QueuedCall | undefined;
  remove(call: QueuedCall): void;
}
