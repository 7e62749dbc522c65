import { monotonicNowMs, wallNowUnixMs } from '@sequoiafield/tables';

/** Both clocks of this process at one moment. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallUnixMs: number;
}

/**
 * Share of a lease that its holder does not use, since the clock of the store may run faster than the
 * clock of this machine, and timers fire late on a busy one.
 */
const unusedLeaseShare = 0.1;

/** Reads both clocks. */
export const readClocks = (): ClockReading => ({
  monotonicMs: monotonicNowMs(),
  wallUnixMs: wallNowUnixMs(),
});

/**
 * Tells how long a lease is still valid, by the clocks of this process alone.
 *
 * The monotonic clock stops while a machine is suspended, and the wall clock can be set. The time that
 * has passed is therefore that of the monotonic clock plus all by which the wall clock has advanced more.
 * A wall clock that is set back is followed from the next reading on, so that a later suspension is still
 * noticed.
 *
 * @example
 * const clock = new LeaseClock(3000, readClocks()); // before the call that grants the lease
 * if (clock.isValidFor(timeoutMs)) startCall();
 */
export class LeaseClock {
  readonly #usableMs: number;

  #start: ClockReading;

  /** Lowest difference of the wall clock to the monotonic one since the start. */
  #lowestOffsetMs: number;

  constructor(leaseMs: number, start: ClockReading) {
    this.#usableMs = leaseMs * (1 - unusedLeaseShare);
    this.#start = start;
    this.#lowestOffsetMs = start.wallUnixMs - start.monotonicMs;
  }

  /** Time since the start in ms; call it in each tick, so that a wall clock that is set back is noticed. */
  elapsedMs(now: ClockReading = readClocks()): number {
    const offsetMs = now.wallUnixMs - now.monotonicMs;
    this.#lowestOffsetMs = Math.min(this.#lowestOffsetMs, offsetMs);
    return now.monotonicMs - this.#start.monotonicMs + (offsetMs - this.#lowestOffsetMs);
  }

  /** Whether the lease is certainly still valid after `durationMs`. */
  isValidFor(durationMs: number, now: ClockReading = readClocks()): boolean {
    return this.elapsedMs(now) + durationMs < this.#usableMs;
  }

  /** Starts again with a renewal, at the reading from before its call was sent. */
  restart(start: ClockReading): void {
    this.#start = start;
    this.#lowestOffsetMs = start.wallUnixMs - start.monotonicMs;
  }
}
