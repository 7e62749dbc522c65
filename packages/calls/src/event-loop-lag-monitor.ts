import type { System, Tick } from '@sequoiafield/tables';

/** A tick that is later than this means that events waited long enough for callers to give up. */
const behindMs = 250;

/** Tells whether this process got to its events late, for want of processor time or in a long turn. */
export class EventLoopLagMonitor implements System {
  readonly name = 'loop-lag';

  #tickedAtMs = Number.POSITIVE_INFINITY;

  /** Until when events are handled that came while the process was behind. */
  #behindUntilMs = Number.NEGATIVE_INFINITY;

  run({ nowMs, elapsedMs }: Tick): void {
    // Timers run before the events that waited; those take about as long again.
    if (elapsedMs > behindMs) this.#behindUntilMs = nowMs + elapsedMs;
    this.#tickedAtMs = nowMs;
  }

  isBehind(nowMs: number): boolean {
    return nowMs < this.#behindUntilMs || nowMs - this.#tickedAtMs > behindMs;
  }
}
