import { monotonicNowMs } from '@sequoiafield/tables';
import { CapacityCallEnd, type BegunCall, type CapacityEstimator } from './capacity-estimator.js';
import { LimitSelector } from './limit-selector.js';
import { ServerHistory } from './server-history.js';
import { ServerSpeed } from './server-speed.js';

/**
 * Bound of the logarithm of one latency around the present speed. A few calls take seven times as long
 * as others of their route; beyond this factor of 4.5 they count no more.
 */
const logRatioMax = 1.5;
/** Speed below which a server is slow; chance alone moves the speed by about a fifth. */
export const slowSpeed = 0.6;
/**
 * Share of the present slowness that does not enter the history: a slow server is to be compared with its
 * usual speed for a while, but a lasting change becomes usual.
 */
const ignoredSlownessShare = 0.8;
/** Logarithm of the slowness up to which it may be due to chance, and enters the history as a whole. */
const ignoredSlownessMin = 0.3;
/** Weight of one call in the running calls at which the history was learned; that of the history. */
const historyRunningWeight = 0.02;
/** Weight of one call in the mean latency over all routes. */
const newCallWeight = 0.1;

/**
 * Learns from its calls how many a backend server takes well at a time, its speed and the usual
 * latency of each route. Create one for each incarnation of a server.
 *
 * @example
 * const capacity = new LearnedCapacity();
 * const call = capacity.begin('lookup', 0, 6);
 * capacity.end(call, CapacityCallEnd.Answered, 120);
 * capacity.limit(6); // 6
 */
export class LearnedCapacity implements CapacityEstimator {
  readonly #history = new ServerHistory();

  readonly #speed = new ServerSpeed();

  #selector = new LimitSelector(1);

  /** Running calls, as a logarithm, at which the history was learned. */
  #historyRunning = 1;

  #runningCalls = 0;

  #slotTimeMs = 0;

  #slotTimeAtMs = monotonicNowMs();

  #meanMs = 0;

  get speed(): number {
    return Math.exp(-this.#speed.logSlowness(monotonicNowMs()));
  }

  limit(slots: number): number {
    return this.#selector.slots === slots ? this.#selector.settledLimit : slots;
  }

  admissionLimit(slots: number): number {
    return this.#selector.slots === slots ? this.#selector.admissionLimit : slots;
  }

  isSlow(): boolean {
    return this.speed < slowSpeed;
  }

  expectedMs(route: string, runningCalls: number): number | undefined {
    const meanMs = this.#history.meanMs(route);
    if (meanMs === undefined) return undefined;
    return (meanMs * Math.exp(this.#selector.model.logStretch(runningCalls))) / this.speed;
  }

  begin(route: string, runningCalls: number, slots: number): BegunCall {
    const nowMs = monotonicNowMs();
    this.#advance(nowMs);
    this.#runningCalls = runningCalls + 1;
    if (this.#selector.slots !== slots) this.#selector = new LimitSelector(slots);
    this.#selector.recordBegin(runningCalls);
    return { route, beganAtMs: nowMs, slotTimeAtBeginMs: this.#slotTimeMs };
  }

  end(call: BegunCall, end: CapacityCallEnd, latencyMs: number): void {
    const nowMs = monotonicNowMs();
    this.#advance(nowMs);
    this.#runningCalls = Math.max(0, this.#runningCalls - 1);
    const durationMs = nowMs - call.beganAtMs;
    if (latencyMs <= 0 || durationMs <= 0) return;
    const slotTimeMs = this.#slotTimeMs - call.slotTimeAtBeginMs;
    const runningCalls = Math.max(1, slotTimeMs / durationMs);
    if (end === CapacityCallEnd.Answered) {
      this.#recordAnswer(call.route, latencyMs, runningCalls, nowMs);
    } else if (end === CapacityCallEnd.Failed) {
      this.#recordFailure(call.route, latencyMs, runningCalls, nowMs);
    }
  }

  #recordAnswer(route: string, latencyMs: number, runningCalls: number, nowMs: number): void {
    const { model } = this.#selector;
    const logStretch = model.logStretch(runningCalls);
    const logSlowness = this.#speed.logSlowness(nowMs);
    const logRatio = this.#history.logRatio(route, latencyMs);
    const ignored = ignoredSlownessShare * Math.max(0, logSlowness - ignoredSlownessMin);
    this.#history.add(route, latencyMs, logStretch + ignored);
    this.#meanMs += (latencyMs - this.#meanMs) * (this.#meanMs === 0 ? 1 : newCallWeight);
    if (logRatio === undefined) return;
    this.#speed.add(this.#bounded(logRatio - logStretch, logSlowness), nowMs);
    const logStretchBefore = model.logStretch(this.#historyRunning);
    this.#selector.recordAnswer(runningCalls, logRatio, this.#meanMs, nowMs);
    // The history was learned with calls that were slowed down by what the model said then.
    const change = model.logStretch(this.#historyRunning) - logStretchBefore;
    this.#history.shift(-change);
    model.shift(change);
    this.#historyRunning += (runningCalls - this.#historyRunning) * historyRunningWeight;
  }

  /** A failed call may have ended early, so that only a long one tells something: the server is slow. */
  #recordFailure(route: string, latencyMs: number, runningCalls: number, nowMs: number): void {
    const logRatio = this.#history.logRatio(route, latencyMs);
    if (logRatio === undefined) return;
    const logStretch = this.#selector.model.logStretch(runningCalls);
    const logSlowness = this.#speed.logSlowness(nowMs);
    if (logRatio - logStretch < logSlowness) return;
    this.#speed.add(this.#bounded(logRatio - logStretch, logSlowness), nowMs);
  }

  #bounded(logRatio: number, expected: number): number {
    return expected + Math.max(-logRatioMax, Math.min(logRatioMax, logRatio - expected));
  }

  /** Adds the slot time that the running calls used since the last call of this. */
  #advance(nowMs: number): void {
    this.#slotTimeMs += this.#runningCalls * Math.max(0, nowMs - this.#slotTimeAtMs);
    this.#slotTimeAtMs = nowMs;
  }
}
