import { mock } from 'node:test';
import { setMonotonicClock } from '@sequoiafield/tables';

/**
 * Pauses the runtime's timers and clocks; the monotonic clock moves with them.
 *
 * @example
 * const clock = pauseClock();
 * await clock.advance(500);
 * clock.resume();
 */
export class PausedClock {
  readonly #startUnixMs: number;

  constructor(startUnixMs = Date.UTC(2026, 0, 1)) {
    this.#startUnixMs = startUnixMs;
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: startUnixMs });
    setMonotonicClock({ nowMs: () => Date.now() - this.#startUnixMs });
  }

  /** Advances in steps, so that timers set by timers fire and promises settle in between. */
  async advance(durationMs: number, stepMs = 10): Promise<void> {
    for (let doneMs = 0; doneMs < durationMs; doneMs += stepMs) {
      mock.timers.tick(Math.min(stepMs, durationMs - doneMs));
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  resume(): void {
    mock.timers.reset();
    setMonotonicClock();
  }
}

/** Pauses the clock of this process at a fixed time. */
export const pauseClock = (startUnixMs?: number): PausedClock => new PausedClock(startUnixMs);
