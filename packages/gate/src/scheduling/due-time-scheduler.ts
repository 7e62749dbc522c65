import { RefusalReason, type CallOpen, type CallRefusal } from '@sequoiafield/types';
import { createRefusal } from '../create-refusal.js';
import { DueTimeQueue } from '../due-time-queue.js';
import type { RouteLatencyTargets } from '../route-latency-targets.js';
import type {
  ArrivingCall,
  CallScheduler,
  QueuedCall,
  ServerObservation,
} from './call-scheduler.js';
import { DeadlineCheck } from './deadline-check.js';

/** Queued calls per slot at most; usually the limit on the expected wait refuses calls earlier. */
const queuedCallsPerSlotMax = 4;
/** Expected wait that is always allowed; a lower limit would refuse calls in a short burst. */
const waitAlwaysAllowedMs = 10;

/** When a call is due to start, which is its place in the queue, and when its answer is due. */
interface DueTimes {
  readonly startDueAtMs: number;
  readonly answerDueAtMs: number;
}

/**
 * Starts calls in the order of their due times and refuses a call at once if its expected wait is longer
 * than its target allows. Answers short bursts.
 */
export class DueTimeScheduler implements CallScheduler {
  readonly #queue = new DueTimeQueue<QueuedCall>();

  readonly #deadlineCheck: DeadlineCheck;

  constructor(
    private readonly server: ServerObservation,
    private readonly targets: RouteLatencyTargets,
  ) {
    this.#deadlineCheck = new DeadlineCheck(server);
  }

  get size(): number {
    return this.#queue.size;
  }

  all(): readonly QueuedCall[] {
    return this.#queue.all();
  }

  checkArrival({ open, deadlineAtMs }: ArrivingCall, nowMs: number): CallRefusal | undefined {
    const { runningCalls, slots, serviceTimes } = this.server;
    const { startDueAtMs, answerDueAtMs } = this.#dueTimes(open, nowMs);
    const waitMs = runningCalls < slots ? 0 : this.#expectedWaitMs(startDueAtMs, slots);
    // Under overload a longer wait serves no more calls, but makes every answer late.
    const waitMaxMs = Math.max(
      waitAlwaysAllowedMs,
      answerDueAtMs - nowMs - serviceTimes.routeP90Ms(open.route),
    );
    const retryAfterMs = this.#deadlineCheck.retryAfterMs(this.#queue.size);
    if (waitMs > waitMaxMs || this.#queue.size >= slots * queuedCallsPerSlotMax) {
      const detail = `expected wait ${Math.round(waitMs)} ms, ${this.#queue.size} calls wait`;
      return createRefusal(RefusalReason.QueueFull, detail, retryAfterMs);
    }
    const remainingMs = deadlineAtMs - nowMs - waitMs;
    return this.#deadlineCheck.check(open, remainingMs, nowMs, runningCalls >= slots, retryAfterMs);
  }

  checkWaiting(
    { open, deadlineAtMs }: QueuedCall,
    nowMs: number,
    areOthersQueued: boolean,
  ): CallRefusal | undefined {
    const retryAfterMs = this.#deadlineCheck.retryAfterMs(this.#queue.size);
    const remainingMs = deadlineAtMs - nowMs;
    return this.#deadlineCheck.check(open, remainingMs, nowMs, areOthersQueued, retryAfterMs);
  }

  push(call: ArrivingCall, nowMs: number, settle: QueuedCall['settle']): QueuedCall {
    const dueAtMs = this.#dueTimes(call.open, nowMs).startDueAtMs;
    const queued: QueuedCall = { ...call, dueAtMs, settle };
    this.#queue.push(queued);
    return queued;
  }

  shift(): QueuedCall | undefined {
    return this.#queue.shift();
  }

  remove(call: QueuedCall): void {
    this.#queue.remove(call);
  }

  /**
   * Returns when a call is due to start and its answer is due. The time that the call has taken before
   * counts as long as its answer can still be in time; it then goes before new calls of its route.
   */
  #dueTimes(open: CallOpen, nowMs: number): DueTimes {
    const { targetMs, dueInMs } = this.targets.get(open.route, open.priority);
    const statedMs = open.mayBeLate === true ? undefined : open.answerDueAtMs;
    const neededMs = this.server.serviceTimes.routeP90Ms(open.route);
    const isInTime = statedMs !== undefined && statedMs - nowMs > neededMs;
    const answerDueAtMs = isInTime ? statedMs : nowMs + targetMs;
    return { answerDueAtMs, startDueAtMs: answerDueAtMs - targetMs + dueInMs };
  }

  /** Expected time to a slot: one running call has to end, and the calls due before have to run. */
  #expectedWaitMs(dueAtMs: number, slots: number): number {
    const { serviceTimes } = this.server;
    const callsAhead = this.#queue.callsAhead(dueAtMs);
    const timesAheadMs = callsAhead.map(({ open }) => serviceTimes.routeMeanMs(open.route));
    return timesAheadMs.reduce((sum, timeMs) => sum + timeMs, serviceTimes.meanMs) / slots;
  }
}
