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
let source: MonotonicClock = processClock;

/**
 * Monotonic time of this process in ms, for durations, leases and timeouts.
 *
 * @example
 * const startedAtMs = monotonicNowMs();
 * const tookMs = monotonicNowMs() - startedAtMs;
 */
export const monotonicNowMs = (): number => source.nowMs();

/**
 * Wall-clock time in Unix ms, for times that operators wrote.
 *
 * @example
 * const isStarted = wallNowUnixMs() >= move.startAtUnixMs;
 */
export const wallNowUnixMs = (): number => Date.now();

/**
 * Replaces the monotonic source; without an argument the process clock comes back. Test use only.
 *
 * @example
 * setMonotonicClock({ nowMs: () => 0 });
 */
export const setMonotonicClock = (replacement?: MonotonicClock): void => {
  source = replacement ?? processClock;
};
