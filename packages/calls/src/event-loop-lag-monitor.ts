import type { System, Tick } from '@sequoiafield/tables';

/** Lag of a tick above which events have waited long enough for callers to give up. */
const lagThresholdMs = 250;

/** Detects that events are handled late, for lack of processor time or after a long turn. */
export class EventLoopLagMonitor implements System {
  readonly name = 'loop-lag';

  #lastTickAtMs = Number.POSITIVE_INFINITY;

  /** Time until which events are handled that arrived while the event loop lagged. */
  #laggingUntilMs = Number.NEGATIVE_INFINITY;

  run({ nowMs, elapsedMs }: Tick): void {
    // Timers run before the queued events, which take about as long again to handle.
    if (elapsedMs > lagThresholdMs) this.#laggingUntilMs = nowMs + elapsedMs;
    this.#lastTickAtMs = nowMs;
  }

  /** Returns whether an event that is handled now may have waited too long. */
  isLagging(nowMs: number): boolean {
    return nowMs < this.#laggingUntilMs || nowMs - this.#lastTickAtMs > lagThresholdMs;
  }
}
