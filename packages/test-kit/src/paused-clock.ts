import { mock } from 'node:test';
import { setMonotonicClock } from '@sequoiafield/tables';

/**
 * Pauses the timers and clocks of the process; the monotonic clock advances together with them.
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

  /**
   * Advances the clock in steps, so that timers set by timers fire and promises settle in between.
   */
  async advance(durationMs: number, stepMs = 10): Promise<void> {
    for (let advancedMs = 0; advancedMs < durationMs; advancedMs += stepMs) {
      mock.timers.tick(Math.min(stepMs, durationMs - advancedMs));
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
