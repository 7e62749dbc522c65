import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import {
  RefusalReason,
  type Admission,
  type AdmissionResult,
  type CallOpen,
  type CallRefusal,
  type CancelSignal,
  type LoadReport,
  type Permit,
} from '@sequoiafield/types';
import { ColdLimiter } from './cold-limiter.js';
import { createRefusal } from './create-refusal.js';
import type { LocalServer, LocalServerTracker } from './local-server-tracker.js';
import { RouteLatencyTargets } from './route-latency-targets.js';
import { ServerCapacity, type ServerCapacityOptions } from './server-capacity.js';
import { ServiceTimes } from './service-times.js';
import { CallEnd, ShedBreaker } from './shed-breaker.js';
import { DueTimeQueue, type DueTimeEntry } from './due-time-queue.js';

/** Queued calls per slot at most; usually the limit on the expected wait refuses calls earlier. */
const queuedCallsPerSlotMax = 4;
/** Expected wait that is always allowed; a lower limit would refuse calls in a short burst. */
const waitAlwaysAllowedMs = 10;
/** Time without calls after a connection that could not be opened, unless a heartbeat or an answer ends it earlier. */
const connectFailedPauseMs = 1000;
/** A call needs more remaining time than this share of the mean service time of its route. */
const neededServiceTimeShare = 0.6;
/** Service times that are older than this do not cause the refusal of a call to an idle server. */
const serviceTimesMaxAgeMs = 1000;
/** Shortest retry hint; a caller's round trip takes longer than a shorter one. */
const retryAfterMinMs = 20;

/** Options of `ServerGate`. */
export interface ServerGateOptions extends ServerCapacityOptions {
  readonly dataCentre: string;
  readonly serverTracker: LocalServerTracker;
}

interface QueuedCall extends DueTimeEntry {
  readonly open: CallOpen;
  readonly deadlineAtMs: number;
  settle(result: AdmissionResult): void;
}

const callEndOf = (hasFailed: boolean, wasShed: boolean, latencyMs: number): CallEnd => {
  if (wasShed) return CallEnd.Shed;
  return hasFailed || latencyMs === 0 ? CallEnd.Other : CallEnd.Answered;
};

/**
 * Admits calls to the backend server beside this node. A refused call never reached the server, so
 * the outcome "not run" is certain and another member can be tried at no cost.
 *
 * @example
 * const gate = new ServerGate({ dataCentre, serverTracker, orders });
 * const result = await gate.admit(open, deadlineAtMs, signal);
 */
export class ServerGate implements Admission, System {
  readonly name = 'gate';

  /** Refusals since the start of the process, by reason. */
  readonly refusals = new Map<RefusalReason, number>();

  readonly #queue = new DueTimeQueue<QueuedCall>();

  #serviceTimes = new ServiceTimes();

  #shedBreaker = new ShedBreaker();

  #running = 0;

  #incarnation = '';

  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  /** When the last service time was recorded. */
  #serviceTimeRecordedAtMs = Number.NEGATIVE_INFINITY;

  #connectFailedAtMs = Number.NEGATIVE_INFINITY;

  readonly #latencyTargets: RouteLatencyTargets;

  readonly #coldLimiter: ColdLimiter;

  /** What is known of the server's capacity. */
  readonly capacity: ServerCapacity;

  constructor(private readonly options: ServerGateOptions) {
    this.#latencyTargets = new RouteLatencyTargets(options.orders);
    this.#coldLimiter = new ColdLimiter(options.dataCentre, options.orders);
    this.capacity = new ServerCapacity(options);
  }

  load(): LoadReport {
    return {
      runningCalls: this.#running,
      queuedCalls: this.#queue.size,
      slotsNow: this.capacity.limit(),
      meanServiceMs: this.#serviceTimes.meanMs,
      failureRatio: this.#serviceTimes.failureRatio,
    };
  }

  async admit(
    open: CallOpen,
    deadlineAtMs: number,
    signal: CancelSignal,
  ): Promise<AdmissionResult> {
    const nowMs = monotonicNowMs();
    const server = this.options.serverTracker.current();
    const refused =
      this.currentRefusal(open.service) ?? this.#callRefusal(open, deadlineAtMs, nowMs);
    if (refused || !server) {
      return this.#refuse(refused ?? createRefusal(RefusalReason.NotReady, 'no server is known'));
    }
    if (this.#running < this.capacity.admissionLimit() && this.#queue.size === 0) {
      const coldRefusal = this.#coldLimiter.count(server, nowMs);
      return coldRefusal
        ? this.#refuse(coldRefusal)
        : { kind: 'permit', permit: this.#permit(open) };
    }
    if (open.mayWait === false) {
      return this.#refuse(createRefusal(RefusalReason.ServerBusy, 'no slot is free'));
    }
    return this.#enqueue(open, deadlineAtMs, signal);
  }

  /** Returns why the server gets no new calls of a service now, or undefined if it gets them. */
  currentRefusal(service: string): CallRefusal | undefined {
    const server = this.options.serverTracker.current();
    const nowMs = monotonicNowMs();
    if (!server)
      return createRefusal(RefusalReason.NotReady, 'no backend server has announced itself');
    if (server.isLeaving) return createRefusal(RefusalReason.Draining, 'the backend server leaves');
    if (this.options.orders.current().evacuatedDataCentres.has(this.options.dataCentre)) {
      return createRefusal(RefusalReason.DataCentreEvacuated, 'the data centre is evacuated');
    }
    if (server.heartbeat.service !== service) {
      return createRefusal(RefusalReason.WrongVersion, `here is ${server.heartbeat.service}`);
    }
    if (this.isSilent(server, nowMs)) {
      return createRefusal(RefusalReason.NotReady, 'the backend server is silent');
    }
    const shedPauseMs = this.#shedBreaker.remainingMs();
    if (shedPauseMs > 0) {
      return createRefusal(RefusalReason.NotReady, 'the backend server sheds calls', shedPauseMs);
    }
    return undefined;
  }

  /** Whether the server sent no heartbeat or answer for too long, or a connection to it just failed. */
  isSilent(server: LocalServer, nowMs: number): boolean {
    if (this.options.serverTracker.isSilent(server, nowMs, this.#lastAnswerAtMs)) return true;
    const lastContactAtMs = Math.max(server.heartbeatAtMs, this.#lastAnswerAtMs);
    const failedAtMs = this.#connectFailedAtMs;
    return failedAtMs > lastContactAtMs && nowMs - failedAtMs < connectFailedPauseMs;
  }

  /** Whether the server is cold, or may be. */
  isCold(): boolean {
    const server = this.options.serverTracker.current();
    return server !== undefined && this.#coldLimiter.isCold(server, monotonicNowMs());
  }

  /** Records that a connection to the server could not be opened. */
  recordConnectFailed(): void {
    this.#connectFailedAtMs = monotonicNowMs();
  }

  /** Records that nothing listens at the server's port, so that its incarnation has ended. */
  recordServerEnded(): void {
    this.recordConnectFailed();
    this.#coldLimiter.recordServerEnded();
  }

  /** Starts or refuses queued calls by the current state; called each tick and on changes. */
  run(tick: Pick<Tick, 'nowMs'>): void {
    this.#coldLimiter.trackEvacuation(tick.nowMs);
    this.#resetOnNewIncarnation();
    this.capacity.logChange(tick.nowMs);
    for (const call of [...this.#queue.all()]) {
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#deadlineRefusal(
          call.open,
          call.deadlineAtMs - tick.nowMs,
          tick.nowMs,
          this.#queue.size > 1,
        );
      if (refused) {
        this.#queue.remove(call);
        call.settle(this.#refuse(refused));
      }
    }
    this.#startQueuedCalls();
  }

  #resetOnNewIncarnation(): void {
    const heartbeat = this.options.serverTracker.current()?.heartbeat;
    const incarnation = heartbeat ? `${heartbeat.instanceId} ${heartbeat.bornAtUnixMs}` : '';
    if (incarnation === this.#incarnation) return;
    this.#incarnation = incarnation;
    this.#serviceTimes = new ServiceTimes();
    this.#shedBreaker = new ShedBreaker();
    this.capacity.reset();
    this.#lastAnswerAtMs = Number.NEGATIVE_INFINITY;
    this.#coldLimiter.recordIncarnation();
  }

  /** Refuses a call for its remaining time or for the calls queued ahead of it. */
  #callRefusal(open: CallOpen, deadlineAtMs: number, nowMs: number): CallRefusal | undefined {
    const slots = this.capacity.limit();
    const { targetMs, dueInMs } = this.#latencyTargets.get(open.route);
    const waitMs = this.#running < slots ? 0 : this.#expectedWaitMs(nowMs + dueInMs, slots);
    // Under overload a longer wait serves no more calls, but makes every answer late.
    const waitMaxMs = Math.max(
      waitAlwaysAllowedMs,
      targetMs - this.#serviceTimes.routeP90Ms(open.route),
    );
    if (waitMs > waitMaxMs || this.#queue.size >= slots * queuedCallsPerSlotMax) {
      const detail = `expected wait ${Math.round(waitMs)} ms, ${this.#queue.size} calls wait`;
      return createRefusal(RefusalReason.QueueFull, detail, this.#retryAfterMs());
    }
    return this.#deadlineRefusal(
      open,
      deadlineAtMs - nowMs - waitMs,
      nowMs,
      this.#running >= slots,
    );
  }

  /** Expected time to a slot: one running call has to end, and the calls due before have to run. */
  #expectedWaitMs(dueAtMs: number, slots: number): number {
    const callsAhead = this.#queue.callsAhead(dueAtMs);
    const timesAheadMs = callsAhead.map(({ open }) => this.#serviceTimes.routeMeanMs(open.route));
    return timesAheadMs.reduce((sum, timeMs) => sum + timeMs, this.#serviceTimes.meanMs) / slots;
  }

  /**
   * Refuses a call whose remaining time is too short. While other calls are queued, a call needs the
   * time that most calls of its route take, since its slot could serve a call that ends in time.
   */
  #deadlineRefusal(
    open: CallOpen,
    remainingMs: number,
    nowMs: number,
    areOthersQueued: boolean,
  ): CallRefusal | undefined {
    // Only a new answer can show that a slow server has recovered.
    const areServiceTimesOld = nowMs - this.#serviceTimeRecordedAtMs > serviceTimesMaxAgeMs;
    if (this.#running === 0 && areServiceTimesOld && remainingMs > 0) return undefined;
    const neededMs = areOthersQueued
      ? this.#serviceTimes.routeP90Ms(open.route)
      : neededServiceTimeShare * this.#serviceTimes.routeMeanMs(open.route);
    if (remainingMs > neededMs) return undefined;
    const detail = `${Math.round(remainingMs)} ms are left after the wait, ${Math.round(neededMs)} ms needed`;
    return createRefusal(RefusalReason.DeadlineUnreachable, detail, this.#retryAfterMs());
  }

  /** Expected time until the calls that are queued now have started. */
  #retryAfterMs(): number {
    const slots = this.capacity.limit();
    return Math.max(retryAfterMinMs, ((this.#queue.size + 1) * this.#serviceTimes.meanMs) / slots);
  }

  #permit(open: CallOpen): Permit {
    const endCall = this.capacity.begin(open.route, this.#running, this.isCold());
    this.#running += 1;
    const incarnation = this.#incarnation;
    const breaker = this.#shedBreaker;
    const isTrial = breaker.start();
    let isReleased = false;
    return {
      release: (result) => {
        if (isReleased) return;
        isReleased = true;
        const { hasFailed, latencyMs, wasShed = false, wasAnswered = !hasFailed } = result;
        this.#running -= 1;
        endCall(result);
        breaker.end(callEndOf(hasFailed, wasShed, latencyMs), isTrial);
        if (incarnation === this.#incarnation && latencyMs > 0) {
          this.#serviceTimes.record(open.route, latencyMs, hasFailed);
          this.#serviceTimeRecordedAtMs = monotonicNowMs();
          if (wasAnswered) this.#recordAnswer(hasFailed);
        }
        this.#startQueuedCalls();
      },
    };
  }

  #recordAnswer(hasFailed: boolean): void {
    const nowMs = monotonicNowMs();
    if (!hasFailed) this.#lastAnswerAtMs = nowMs;
    const server = this.options.serverTracker.current();
    if (server) this.#coldLimiter.recordAnswer(server, nowMs);
  }

  #enqueue(open: CallOpen, deadlineAtMs: number, signal: CancelSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      let onAbort = (): void => undefined;
      const call: QueuedCall = {
        open,
        dueAtMs: monotonicNowMs() + this.#latencyTargets.get(open.route).dueInMs,
        deadlineAtMs,
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      onAbort = () => {
        this.#queue.remove(call);
        call.settle(
          this.#refuse(createRefusal(RefusalReason.Cancelled, 'cancelled while it waited')),
        );
      };
      signal.addEventListener('abort', onAbort);
      this.#queue.push(call);
    });
  }

  #startQueuedCalls(): void {
    const nowMs = monotonicNowMs();
    for (;;) {
      const server = this.options.serverTracker.current();
      if (!server || this.#running >= this.capacity.admissionLimit()) return;
      const call = this.#queue.shift();
      if (!call) return;
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#deadlineRefusal(call.open, call.deadlineAtMs - nowMs, nowMs, this.#queue.size > 0) ??
        this.#coldLimiter.count(server, nowMs);
      if (refused) call.settle(this.#refuse(refused));
      else call.settle({ kind: 'permit', permit: this.#permit(call.open) });
    }
  }

  #refuse(refused: CallRefusal): AdmissionResult {
    this.refusals.set(refused.reason, (this.refusals.get(refused.reason) ?? 0) + 1);
    return { kind: 'refusal', refusal: { ...refused, load: this.load() } };
  }
}
