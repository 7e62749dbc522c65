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
 * Adapts the slots to the latency of the backend server. Each window of ended calls is compared with
 * the latency history of their routes. Near the history the slots grow; far above it the backend
 * server counts as cold and gets fewer slots. It also counts as cold when most of its running calls
 * are far older than the history, since calls on a cold server may take seconds to end. When fewer
 * slots do not lower the latency, the cause is elsewhere (a slow downstream service), so the history
 * adopts the new level and the slots grow again.
 *
 * @example
 * const limiter = new AdaptiveSlotLimiter('node-1', logger);
 * limiter.slotsNow(10); // 1 after a cold start
 */
export class AdaptiveSlotLimiter implements SlotLimiter {
  #history = new LatencyHistory();

  #slotShare = coldStartShare;

  #isRamping = true;

  #rampSinceMs = monotonicNowMs();

  #windowSinceMs = monotonicNowMs();

  #ratios: number[] = [];

  /** Median ratio before the last reduction of the slots. */
  #ratioBeforeCut: number | undefined;

  /** Calls that started earlier are ignored: they ran under the load before the last reduction. */
  #ignoredBeforeMs = Number.NEGATIVE_INFINITY;

  #overdueSteps = 0;

  constructor(
    private readonly selfId: string,
    private readonly logger: Logger,
  ) {}

  slotsNow(slots: number): number {
    return Math.max(1, Math.min(slots, Math.floor(slots * this.#slotShare + 1e-9)));
  }

  recordEnded(call: EndedCall): void {
    // A failed call may end at once, so its latency does not show whether the server is warm.
    if (call.hasFailed) return;
    if (monotonicNowMs() - call.latencyMs < this.#ignoredBeforeMs) return;
    this.#ratios.push(this.#history.ratioOf(call.route, call.latencyMs));
    this.#history.record(call.route, call.latencyMs);
  }

  beginColdStart(): void {
    this.#history = new LatencyHistory();
    this.#beginRamp(coldStartShare, undefined);
  }

  step(slots: number, running: Iterable<RunningCall>): void {
    const nowMs = monotonicNowMs();
    if (this.#areCallsOverdue(running, nowMs)) {
      // The age of a running call is below its final latency, so the ramp is not compared with it.
      this.#enterColdState(coldLatencyRatio, undefined);
      return;
    }
    const isComplete =
      nowMs - this.#windowSinceMs >= windowMinMs &&
      this.#ratios.length >= this.#requiredCalls(slots);
    if (!isComplete) return;
    const ratio = medianOf(this.#ratios);
    this.#ratios = [];
    this.#windowSinceMs = nowMs;
    if (this.#isRamping) this.#ramp(ratio, nowMs);
    else if (ratio > coldLatencyRatio) this.#enterColdState(ratio, ratio);
  }

  /** Ended calls that a window needs; fewer with few slots, or an idle service would stay cold long. */
  #requiredCalls(slots: number): number {
    return Math.min(windowMinCalls, Math.max(3, 2 * this.slotsNow(slots)));
  }

  #areCallsOverdue(running: Iterable<RunningCall>, nowMs: number): boolean {
    if (this.#isRamping) return false;
    const calls = [...running];
    const overdueCalls = calls.filter(
      ({ route, startedAtMs }) =>
        this.#history.ratioOf(route, nowMs - startedAtMs) > coldLatencyRatio,
    );
    const areMostOverdue =
      overdueCalls.length >= overdueMinCalls && overdueCalls.length * 2 > calls.length;
    this.#overdueSteps = areMostOverdue ? this.#overdueSteps + 1 : 0;
    return this.#overdueSteps >= overdueMinSteps;
  }

  #enterColdState(ratio: number, ratioBeforeCut: number | undefined): void {
    this.logger.log(logEvents.backendServerCold, { selfId: this.selfId, latencyRatio: ratio });
    this.#overdueSteps = 0;
    this.#beginRamp(coldServerSlotShare, ratioBeforeCut);
  }

  #beginRamp(share: number, ratioBeforeCut: number | undefined): void {
    const nowMs = monotonicNowMs();
    this.#isRamping = true;
    this.#slotShare = share;
    this.#ratioBeforeCut = ratioBeforeCut;
    this.#rampSinceMs = nowMs;
    this.#windowSinceMs = nowMs;
    this.#ignoredBeforeMs = nowMs;
    this.#ratios = [];
  }

  #ramp(ratio: number, nowMs: number): void {
    const ratioBefore = this.#ratioBeforeCut;
    if (ratio <= warmLatencyRatio) {
      this.#grow(nowMs);
    } else if (ratioBefore !== undefined && ratio > ratioBefore * improvedLatencyRatio) {
      this.#history.scale(ratio);
      this.#ratioBeforeCut = undefined;
    } else if (ratio > coldLatencyRatio) {
      this.#slotShare = Math.max(coldStartShare, this.#slotShare / slotGrowthFactor);
      this.#ratioBeforeCut = ratio;
      this.#ignoredBeforeMs = nowMs;
    }
  }

  #grow(nowMs: number): void {
    const elapsedShare = (nowMs - this.#rampSinceMs) / rampMinMs;
    const shareMaxByTime = coldStartShare + (1 - coldStartShare) * elapsedShare;
    this.#slotShare = Math.max(
      this.#slotShare,
      Math.min(this.#slotShare * slotGrowthFactor, shareMaxByTime),
    );
    if (this.#slotShare < 1) return;
    this.#isRamping = false;
    this.#slotShare = 1;
  }
}
