/** Source of monotonic time; tests replace it together with the mock timers. */
export interface MonotonicClock {
  nowMs(): number;
}

class ProcessClock implements MonotonicClock {
  nowMs(): number {
    return performance.now();
  }
}

const processClock = new ProcessClock();
let activeClock: MonotonicClock = processClock;

/**
 * Returns the monotonic time of this process in ms, for durations, leases and timeouts.
 *
 * @example
 * const startedAtMs = monotonicNowMs();
 * const tookMs = monotonicNowMs() - startedAtMs;
 */
export const monotonicNowMs = (): number => activeClock.nowMs();

/**
 * Returns the wall-clock time in Unix ms, for comparison with times that operators set.
 *
 * @example
 * const isStarted = wallNowUnixMs() >= move.startAtUnixMs;
 */
export const wallNowUnixMs = (): number => Date.now();

/**
 * Replaces the monotonic clock, or restores the process clock if called without an argument; for tests
 * only.
 *
 * @example
 * setMonotonicClock({ nowMs: () => 0 });
 */
export const setMonotonicClock = (replacement?: MonotonicClock): void => {
  activeClock = replacement ?? processClock;
};
