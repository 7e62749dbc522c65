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
import type { CallScheduler, ServerObservation } from './scheduling/call-scheduler.js';
import { DueTimeScheduler } from './scheduling/due-time-scheduler.js';

/** Time without calls after a connection that could not be opened, unless a heartbeat or an answer ends it earlier. */
const connectFailedPauseMs = 1000;
/** Options of `ServerGate`. */
export interface ServerGateOptions extends ServerCapacityOptions {
  readonly dataCentre: string;
  readonly serverTracker: LocalServerTracker;
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

  readonly #scheduler: CallScheduler;

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
    this.#scheduler = new DueTimeScheduler(this.#observation(), this.#latencyTargets);
  }

  load(): LoadReport {
    return {
      runningCalls: this.#running,
      queuedCalls: this.#scheduler.size,
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
      this.currentRefusal(open.service) ??
      this.#scheduler.checkArrival({ open, deadlineAtMs }, nowMs);
    if (refused || !server) {
      return this.#refuse(refused ?? createRefusal(RefusalReason.NotReady, 'no server is known'));
    }
    if (this.#running < this.capacity.admissionLimit() && this.#scheduler.size === 0) {
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

  refuseEarly(open: CallOpen): CallRefusal | undefined {
    const isBusy = this.#running >= this.capacity.limit() || this.#scheduler.size > 0;
    const { deadlineAtMs } = open;
    const refused =
      this.currentRefusal(open.service) ??
      this.#scheduler.checkArrival({ open, deadlineAtMs }, monotonicNowMs());
    if (refused || !isBusy || open.mayWait !== false) return refused;
    return createRefusal(RefusalReason.ServerBusy, 'no slot is free');
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
    for (const call of this.#scheduler.all()) {
      const areOthersQueued = this.#scheduler.size > 1;
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#scheduler.checkWaiting(call, tick.nowMs, areOthersQueued);
      if (refused) {
        this.#scheduler.remove(call);
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

  #observation(): ServerObservation {
    const running = (): number => this.#running;
    const slots = (): number => Math.max(1, this.capacity.limit());
    const serviceTimes = (): ServiceTimes => this.#serviceTimes;
    const recordedAtMs = (): number => this.#serviceTimeRecordedAtMs;
    return {
      get runningCalls() {
        return running();
      },
      get slots() {
        return slots();
      },
      get serviceTimes() {
        return serviceTimes();
      },
      get serviceTimeRecordedAtMs() {
        return recordedAtMs();
      },
    };
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
      const call = this.#scheduler.push({ open, deadlineAtMs }, monotonicNowMs(), (result) => {
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      });
      onAbort = () => {
        this.#scheduler.remove(call);
        const detail = 'cancelled while it waited';
        call.settle(this.#refuse(createRefusal(RefusalReason.Cancelled, detail)));
      };
      signal.addEventListener('abort', onAbort);
    });
  }

  #startQueuedCalls(): void {
    const nowMs = monotonicNowMs();
    for (;;) {
      const server = this.options.serverTracker.current();
      if (!server || this.#running >= this.capacity.admissionLimit()) return;
      const call = this.#scheduler.shift(nowMs);
      if (!call) return;
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#scheduler.checkWaiting(call, nowMs, this.#scheduler.size > 0) ??
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
