import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import {
  RefusalOutcome,
  RefusalReason,
  type Admission,
  type AdmissionResult,
  type CallOpen,
  type CallRefusal,
  type CancelSignal,
  type LoadReport,
  type MeshService,
  type OrdersView,
  type Permit,
} from '@sequoiafield/types';
import type { LocalServer, LocalServerTracker } from './local-server-tracker.js';
import { RateWindow } from './rate-window.js';
import { RouteLatencyTargets } from './route-latency-targets.js';
import { ServiceTimes } from './service-times.js';
import { DueTimeQueue, type DueTimeEntry } from './due-time-queue.js';

/** Waiting calls per slot at most; the expected wait usually refuses earlier. */
const waitingPerSlot = 4;
/** Wait that is always allowed; less would refuse calls that meet a short burst. */
const waitAlwaysMs = 10;
/** Span in which requests to a cold server are counted; a little over the second that is promised. */
const coldSpanMs = 1050;
/** Extra time that a server counts as cold, for the way of its heartbeat. */
const coldMarginMs = 150;
/** Heartbeats that may be missing before a server that answers nothing either gets no more calls. */
const missedHeartbeatsMax = 2.5;
/** A server that refused a connection is tried again after this time, unless it is heard before. */
const refusedConnectionMs = 1000;
/** A call whose time left is under this share of its mean service time is hopeless. */
const hopelessShare = 0.6;
/** Service times without a new one for this long do not refuse a call of an idle server. */
const timesFreshMs = 1000;
/** Shortest hint for the next try; below it a caller's way here and back would take longer. */
const retryAfterMinMs = 20;

/** What the gate reads. */
export interface ServerGateOptions {
  readonly dataCentre: string;
  readonly serverTracker: LocalServerTracker;
  readonly orders: OrdersView;
  readonly heartbeatIntervalMs: number;
}

interface QueuedCall extends DueTimeEntry {
  readonly open: CallOpen;
  readonly deadlineAtMs: number;
  settle(result: AdmissionResult): void;
}

const refusal = (reason: RefusalReason, detail: string, retryAfterMs?: number): CallRefusal => ({
  outcome: RefusalOutcome.NotRun,
  reason,
  detail,
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});

/**
 * Admits calls to the backend server beside this node. What it refuses never reached the server, so
 * that "not run" is certain and another member can be tried at no cost.
 *
 * @example
 * const gate = new ServerGate({ dataCentre, serverTracker: book, orders, heartbeatIntervalMs: 1500 });
 * const result = await gate.admit(open, deadlineAtMs, signal);
 */
export class ServerGate implements Admission, System {
  readonly name = 'gate';

  /** Refusals since the start of the process, by reason. */
  readonly refusals = new Map<RefusalReason, number>();

  readonly #line = new DueTimeQueue<QueuedCall>();

  readonly #coldWindow = new RateWindow(coldSpanMs);

  #times = new ServiceTimes();

  #running = 0;

  #incarnation = '';

  #answeredAtMs = Number.NEGATIVE_INFINITY;

  /** When the last service time was measured. */
  #timedAtMs = Number.NEGATIVE_INFINITY;

  #connectionRefusedAtMs = Number.NEGATIVE_INFINITY;

  #evacuationEndedAtMs = Number.NEGATIVE_INFINITY;

  #wasEvacuated = false;

  readonly #urgencies: RouteLatencyTargets;

  constructor(private readonly options: ServerGateOptions) {
    this.#urgencies = new RouteLatencyTargets(options.orders);
  }

  load(): LoadReport {
    return {
      runningCalls: this.#running,
      queuedCalls: this.#line.size,
      slotsNow: this.options.serverTracker.current()?.heartbeat.slots ?? 0,
      meanServiceMs: this.#times.meanMs,
      failureRatio: this.#times.failureRatio,
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
      this.currentRefusal(open.service) ?? this.#refusalOfCall(open, deadlineAtMs, nowMs);
    if (refused || !server) {
      return this.#refuse(refused ?? refusal(RefusalReason.NotReady, 'no server is known'));
    }
    if (this.#running < server.heartbeat.slots && this.#line.size === 0) {
      const cold = this.#takeCold(server, nowMs);
      return cold ? this.#refuse(cold) : { kind: 'permit', permit: this.#permit(open) };
    }
    return this.#enqueue(open, deadlineAtMs, signal);
  }

  /** Why the server gets no new work of a service now, or undefined if it does. */
  currentRefusal(service: string): CallRefusal | undefined {
    const server = this.options.serverTracker.current();
    const nowMs = monotonicNowMs();
    if (!server) return refusal(RefusalReason.NotReady, 'no backend server has announced itself');
    if (server.isLeaving) return refusal(RefusalReason.Draining, 'the backend server leaves');
    if (this.#isEvacuated()) {
      return refusal(RefusalReason.DataCentreEvacuated, 'the data centre is evacuated');
    }
    if (server.heartbeat.service !== service) {
      return refusal(RefusalReason.WrongVersion, `here is ${server.heartbeat.service}`);
    }
    if (this.isSilent(server, nowMs)) {
      return refusal(RefusalReason.NotReady, 'the backend server is silent');
    }
    return undefined;
  }

  /** Whether the server neither sent heartbeats nor answered for too long, or refused a connection. */
  isSilent(server: LocalServer, nowMs: number): boolean {
    const heardAtMs = Math.max(server.heartbeatAtMs, this.#answeredAtMs);
    const silentMs = missedHeartbeatsMax * this.options.heartbeatIntervalMs;
    if (nowMs - heardAtMs > silentMs) return true;
    const refusedAtMs = this.#connectionRefusedAtMs;
    return refusedAtMs > heardAtMs && nowMs - refusedAtMs < refusedConnectionMs;
  }

  /** Notes that the server accepts no connections. */
  noteConnectionRefused(): void {
    this.#connectionRefusedAtMs = monotonicNowMs();
  }

  /** Starts and refuses waiting calls by what is known now; called each tick and on changes. */
  run(tick: Pick<Tick, 'nowMs'>): void {
    this.#noteEvacuation(tick.nowMs);
    this.#noteIncarnation();
    for (const call of [...this.#line.all()]) {
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#hopeless(call.open, call.deadlineAtMs - tick.nowMs, tick.nowMs, this.#line.size > 1);
      if (refused) {
        this.#line.remove(call);
        call.settle(this.#refuse(refused));
      }
    }
    this.#startWaiting();
  }

  #noteIncarnation(): void {
    const heartbeat = this.options.serverTracker.current()?.heartbeat;
    const incarnation = heartbeat ? `${heartbeat.instanceId} ${heartbeat.bornAtUnixMs}` : '';
    if (incarnation === this.#incarnation) return;
    this.#incarnation = incarnation;
    this.#times = new ServiceTimes();
    this.#answeredAtMs = Number.NEGATIVE_INFINITY;
  }

  #isEvacuated(): boolean {
    return this.options.orders.current().evacuatedDataCentres.has(this.options.dataCentre);
  }

  #noteEvacuation(nowMs: number): void {
    const isEvacuated = this.#isEvacuated();
    if (this.#wasEvacuated && !isEvacuated) this.#evacuationEndedAtMs = nowMs;
    this.#wasEvacuated = isEvacuated;
  }

  /** Refusals that depend on the call: its time left and the calls ahead of it. */
  #refusalOfCall(open: CallOpen, deadlineAtMs: number, nowMs: number): CallRefusal | undefined {
    const slots = this.options.serverTracker.current()?.heartbeat.slots ?? 1;
    const { targetMs, dueInMs } = this.#urgencies.get(open.route);
    const waitMs = this.#running < slots ? 0 : this.#expectedWaitMs(nowMs + dueInMs, slots);
    // Under overload a longer wait serves no more calls, but makes every answer late.
    const waitMaxMs = Math.max(waitAlwaysMs, targetMs - this.#times.routeP90Ms(open.route));
    if (waitMs > waitMaxMs || this.#line.size >= slots * waitingPerSlot) {
      const detail = `expected wait ${Math.round(waitMs)} ms, ${this.#line.size} calls wait`;
      return refusal(RefusalReason.QueueFull, detail, this.#retryAfterMs());
    }
    return this.#hopeless(open, deadlineAtMs - nowMs - waitMs, nowMs, this.#running >= slots);
  }

  /** Time until a call that is due then gets a slot: one has to end, and those ahead have to run. */
  #expectedWaitMs(dueAtMs: number, slots: number): number {
    const ahead = this.#line.callsAhead(dueAtMs);
    const aheadMs = ahead.map(({ open }) => this.#times.routeMeanMs(open.route));
    return aheadMs.reduce((sum, timeMs) => sum + timeMs, this.#times.meanMs) / slots;
  }

  /**
   * Refusal of a call whose time left does not suffice. While others wait, a call needs the time that
   * most of its route take, since its slot could serve one that ends in time.
   */
  #hopeless(
    open: CallOpen,
    leftMs: number,
    nowMs: number,
    doOthersWait: boolean,
  ): CallRefusal | undefined {
    // Only a new answer can tell that a server which was slow no longer is.
    const isTimeOld = nowMs - this.#timedAtMs > timesFreshMs;
    if (this.#running === 0 && isTimeOld && leftMs > 0) return undefined;
    const neededMs = doOthersWait
      ? this.#times.routeP90Ms(open.route)
      : hopelessShare * this.#times.routeMeanMs(open.route);
    if (leftMs > neededMs) return undefined;
    const detail = `${Math.round(leftMs)} ms are left after the wait, ${Math.round(neededMs)} ms needed`;
    return refusal(RefusalReason.DeadlineUnreachable, detail, this.#retryAfterMs());
  }

  /** Expected time until the calls that wait now have started. */
  #retryAfterMs(): number {
    const slots = this.options.serverTracker.current()?.heartbeat.slots ?? 1;
    return Math.max(retryAfterMinMs, ((this.#line.size + 1) * this.#times.meanMs) / slots);
  }

  #isCold(server: LocalServer, nowMs: number): boolean {
    if (nowMs < server.coldUntilMs + coldMarginMs && server.coldUntilMs > 0) return true;
    // A server may have turned cold while its data centre was out; only a later heartbeat tells.
    return server.heartbeatAtMs < this.#evacuationEndedAtMs + coldMarginMs;
  }

  /** Counts a call towards the cold server's limit; a refusal if it is reached. */
  #takeCold(server: LocalServer, nowMs: number): CallRefusal | undefined {
    const limit = this.#coldLimit(server);
    if (this.#isCold(server, nowMs) && this.#coldWindow.count(nowMs) >= limit) {
      const retryAfterMs = this.#coldWindow.waitMs(nowMs, limit);
      return refusal(RefusalReason.ColdServer, 'the cold server has its share', retryAfterMs);
    }
    // Counted while warm as well, since the server may turn cold at any moment.
    this.#coldWindow.add(nowMs);
    return undefined;
  }

  #coldLimit(server: LocalServer): number {
    const service: MeshService | undefined = this.options.orders
      .current()
      .configuration?.services.get(server.heartbeat.service);
    // Without a configuration nothing is known of the service; one call at a time does no harm.
    return Math.max(1, Math.floor(service?.coldRequestsPerS ?? 1));
  }

  #permit(open: CallOpen): Permit {
    this.#running += 1;
    const incarnation = this.#incarnation;
    let isReleased = false;
    return {
      release: ({ hasFailed, latencyMs }) => {
        if (isReleased) return;
        isReleased = true;
        this.#running -= 1;
        if (incarnation === this.#incarnation && latencyMs > 0) {
          this.#times.record(open.route, latencyMs, hasFailed);
          this.#timedAtMs = monotonicNowMs();
          if (!hasFailed) this.#answeredAtMs = monotonicNowMs();
        }
        this.#startWaiting();
      },
    };
  }

  #enqueue(open: CallOpen, deadlineAtMs: number, signal: CancelSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      let onAbort = (): void => undefined;
      const call: QueuedCall = {
        open,
        dueAtMs: monotonicNowMs() + this.#urgencies.get(open.route).dueInMs,
        deadlineAtMs,
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      onAbort = () => {
        this.#line.remove(call);
        call.settle(this.#refuse(refusal(RefusalReason.Cancelled, 'cancelled while it waited')));
      };
      signal.addEventListener('abort', onAbort);
      this.#line.push(call);
    });
  }

  #startWaiting(): void {
    const nowMs = monotonicNowMs();
    for (;;) {
      const server = this.options.serverTracker.current();
      if (!server || this.#running >= server.heartbeat.slots) return;
      const call = this.#line.shift();
      if (!call) return;
      const refused =
        this.currentRefusal(call.open.service) ??
        this.#hopeless(call.open, call.deadlineAtMs - nowMs, nowMs, this.#line.size > 0) ??
        this.#takeCold(server, nowMs);
      if (refused) call.settle(this.#refuse(refused));
      else call.settle({ kind: 'permit', permit: this.#permit(call.open) });
    }
  }

  #refuse(refused: CallRefusal): AdmissionResult {
    this.refusals.set(refused.reason, (this.refusals.get(refused.reason) ?? 0) + 1);
    return { kind: 'refusal', refusal: { ...refused, load: this.load() } };
  }
}
