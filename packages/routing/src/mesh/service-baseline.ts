import type { LoadReport } from '@sequoiafield/types';

/** Weight of one report in the averages; about the last 10 reports determine them. */
const newReportWeight = 0.1;
/**
 * Bounds of the typical service time as shares of the service's latency target. Reports of one slow
 * member, which may be the only ones, do not make the others look as slow.
 */
const typicalTargetShareMin = 0.15;
const typicalTargetShareMax = 0.45;
/** Calls per slot that are assumed in a data centre from which no member has reported yet. */
const assumedLoadRatio = 0.5;
/** Weight of one gap in the mean time between calls of this node to the service. */
const newGapWeight = 0.1;

/**
 * What is typical for the members of one service: their service time, their load and how often this
 * node calls one of them. A member without a recent report is assumed to be like the others. Without
 * this, a node of a large fleet, which seldom calls the same member twice within a second, takes every
 * member it knows nothing of for idle and fast.
 *
 * @example
 * const baseline = new ServiceBaseline(() => 869);
 * baseline.recordReport({ runningCalls: 3, queuedCalls: 0, slotsNow: 6, meanServiceMs: 280 }, 'dc-1');
 * baseline.serviceMs; // 280
 */
export class ServiceBaseline {
  #serviceMs = 0;

  /** Calls per slot by data centre. */
  readonly #loadRatios = new Map<string, number>();

  #slots = 0;

  #failureRatio = 0;

  #meanGapMs = 0;

  #lastCallAtMs: number | undefined;

  /** `targetLatencyMs` returns the longest latency target of the service's routes. */
  constructor(private readonly targetLatencyMs: () => number) {}

  /** Typical service time in ms. */
  get serviceMs(): number {
    const targetMs = this.targetLatencyMs();
    return Math.min(
      Math.max(this.#serviceMs, typicalTargetShareMin * targetMs),
      typicalTargetShareMax * targetMs,
    );
  }

  /** Calls per slot that are assumed for a member of a data centre without a recent report. */
  loadRatio(dataCentre: string): number {
    return this.#loadRatios.get(dataCentre) ?? assumedLoadRatio;
  }

  /** Typical share of failed calls, 0 to 1. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Slots of a member; 1 before the first report. */
  get slots(): number {
    return Math.max(1, this.#slots);
  }

  /** Mean time in ms between two calls of this node to the service; 0 before the second call. */
  get meanGapMs(): number {
    return this.#meanGapMs;
  }

  recordCall(nowMs: number): void {
    if (this.#lastCallAtMs !== undefined) {
      this.#meanGapMs += (nowMs - this.#lastCallAtMs - this.#meanGapMs) * newGapWeight;
    }
    this.#lastCallAtMs = nowMs;
  }

  recordReport(load: LoadReport, dataCentre: string): void {
    const { runningCalls, queuedCalls, slotsNow, meanServiceMs = 0, failureRatio = 0 } = load;
    if (slotsNow <= 0) return;
    const loadRatio = (runningCalls + queuedCalls) / slotsNow;
    const knownRatio = this.loadRatio(dataCentre);
    this.#loadRatios.set(dataCentre, knownRatio + (loadRatio - knownRatio) * newReportWeight);
    this.#slots += (slotsNow - this.#slots) * (this.#slots === 0 ? 1 : newReportWeight);
    this.#failureRatio += (failureRatio - this.#failureRatio) * newReportWeight;
    if (meanServiceMs <= 0) return;
    const weight = this.#serviceMs === 0 ? 1 : newReportWeight;
    this.#serviceMs += (meanServiceMs - this.#serviceMs) * weight;
  }
}
