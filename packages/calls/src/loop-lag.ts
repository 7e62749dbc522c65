import { monotonicNowMs } from '@sequoiafield/tables';

/** Interval of the beat; short against the lag that matters, and 20 timers a second cost nothing. */
const beatMs = 50;
/** A beat that is later than this means that events waited long enough for callers to give up. */
const behindMs = 250;

/** Tells whether this process got to its events late, for want of processor time or in a long turn. */
export class LoopLag {
  #beatAtMs = monotonicNowMs();

  /** Until when events are handled that came while the process was behind. */
  #behindUntilMs = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  start(): void {
    this.#beatAtMs = monotonicNowMs();
    this.#timer = setInterval(() => this.#beat(monotonicNowMs()), beatMs);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  isBehind(): boolean {
    if (this.#timer === undefined) return false;
    const nowMs = monotonicNowMs();
    return nowMs < this.#behindUntilMs || nowMs - this.#beatAtMs > behindMs;
  }

  #beat(nowMs: number): void {
    const gapMs = nowMs - this.#beatAtMs;
    // Timers run before the events that waited; those take about as long again.
    if (gapMs > behindMs) this.#behindUntilMs = nowMs + gapMs;
    this.#beatAtMs = nowMs;
  }
}
