import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';
import { LatencyHistory } from './latency-history.js';
import {
  coldLatencyRatio,
  coldStartShare,
  coldServerSlotShare,
  improvedLatencyRatio,
  overdueMinCalls,
  overdueMinSteps,
  rampMinMs,
  slotGrowthFactor,
  warmLatencyRatio,
  windowMinCalls,
  windowMinMs,
  type EndedCall,
  type RunningCall,
  type SlotLimiter,
} from './slot-limiter.js';

const medianOf = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 1;

/**
 * Ramps a cold backend server by its own latency. A window of ended calls is compared with the
 * history of each route: well within it the slots grow, far above it the backend server counts as
 * cold and gets fewer. So does one whose running calls are mostly far older than the history, since
 * calls on a cold server may take seconds to end. When fewer slots do not lower the latency, the
 * cause lies elsewhere (a slow service further down), so the history adopts the new level and the
 * slots grow again.
 *
 * @example
 * const limiter = new AdaptiveSlotLimiter('node-1', logger);
 * limiter.slotsNow(10); // 1 after a cold start
 */
export class AdaptiveSlotLimiter implements SlotLimiter {
  #history = new LatencyHistory();

  #share = coldStartShare;

  #isRamping = true;

  #rampSinceMs = monotonicNowMs();

  #windowSinceMs = monotonicNowMs();

  #ratios: number[] = [];

  /** Median ratio before the last reduction of the slots. */
  #ratioBeforeCut: number | undefined;

  /** Calls that started before the last reduction ran under the load before it. */
  #countedFromMs = Number.NEGATIVE_INFINITY;

  #overdueSteps = 0;

  constructor(
    private readonly selfId: string,
    private readonly logger: Logger,
  ) {}

  slotsNow(slots: number): number {
    return Math.max(1, Math.min(slots, Math.floor(slots * this.#share + 1e-9)));
  }

  recordEnded(call: EndedCall): void {
    // A failed call may end at once and says nothing about warmth.
    if (call.hasFailed) return;
    if (monotonicNowMs() - call.latencyMs < this.#countedFromMs) return;
    this.#ratios.push(this.#history.ratioOf(call.route, call.latencyMs));
    this.#history.record(call.route, call.latencyMs);
  }

  beginColdStart(): void {
    this.#history = new LatencyHistory();
    this.#beginRamp(coldStartShare, undefined);
  }

  step(slots: number, running: Iterable<RunningCall>): void {
    const nowMs = monotonicNowMs();
    if (this.#isOverdue(running, nowMs)) {
      // The age of a running call understates its latency, so that it is no measure for the ramp.
      this.#turnCold(coldLatencyRatio, undefined);
      return;
    }
    const isComplete =
      nowMs - this.#windowSinceMs >= windowMinMs && this.#ratios.length >= this.#callsNeeded(slots);
    if (!isComplete) return;
    const ratio = medianOf(this.#ratios);
    this.#ratios = [];
    this.#windowSinceMs = nowMs;
    if (this.#isRamping) this.#ramp(ratio, nowMs);
    else if (ratio > coldLatencyRatio) this.#turnCold(ratio, ratio);
  }

  /** Fewer calls are enough with few slots; else an idle service would stay cold for long. */
  #callsNeeded(slots: number): number {
    return Math.min(windowMinCalls, Math.max(3, 2 * this.slotsNow(slots)));
  }

  #isOverdue(running: Iterable<RunningCall>, nowMs: number): boolean {
    if (this.#isRamping) return false;
    const calls = [...running];
    const overdue = calls.filter(
      ({ route, startedAtMs }) =>
        this.#history.ratioOf(route, nowMs - startedAtMs) > coldLatencyRatio,
    );
    const isMost = overdue.length >= overdueMinCalls && overdue.length * 2 > calls.length;
    this.#overdueSteps = isMost ? this.#overdueSteps + 1 : 0;
    return this.#overdueSteps >= overdueMinSteps;
  }

  #turnCold(ratio: number, ratioBeforeCut: number | undefined): void {
    this.logger.log(logEvents.backendServerCold, { selfId: this.selfId, latencyRatio: ratio });
    this.#overdueSteps = 0;
    this.#beginRamp(coldServerSlotShare, ratioBeforeCut);
  }

  #beginRamp(share: number, ratioBeforeCut: number | undefined): void {
    const nowMs = monotonicNowMs();
    this.#isRamping = true;
    this.#share = share;
    this.#ratioBeforeCut = ratioBeforeCut;
    this.#rampSinceMs = nowMs;
    this.#windowSinceMs = nowMs;
    this.#countedFromMs = nowMs;
    this.#ratios = [];
  }

  #ramp(ratio: number, nowMs: number): void {
    const before = this.#ratioBeforeCut;
    if (ratio <= warmLatencyRatio) {
      this.#grow(nowMs);
    } else if (before !== undefined && ratio > before * improvedLatencyRatio) {
      this.#history.scale(ratio);
      this.#ratioBeforeCut = undefined;
    } else if (ratio > coldLatencyRatio) {
      this.#share = Math.max(coldStartShare, this.#share / slotGrowthFactor);
      this.#ratioBeforeCut = ratio;
      this.#countedFromMs = nowMs;
    }
  }

  #grow(nowMs: number): void {
    const passedShare = (nowMs - this.#rampSinceMs) / rampMinMs;
    const shareByTime = coldStartShare + (1 - coldStartShare) * passedShare;
    this.#share = Math.max(this.#share, Math.min(this.#share * slotGrowthFactor, shareByTime));
    if (this.#share < 1) return;
    this.#isRamping = false;
    this.#share = 1;
  }
}
