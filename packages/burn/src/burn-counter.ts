import { burnWindows, plotPointMinutes, type BurnCounts } from './burn-types.js';

const minuteMs = 60_000;
const retainedMinutes = Math.max(...burnWindows.map(({ minutes }) => minutes));

interface MutableCounts {
  good: number;
  bad: number;
}

const addCounts = (left: BurnCounts, right: BurnCounts): BurnCounts => ({
  good: left.good + right.good,
  bad: left.bad + right.bad,
});

/**
 * Counts the good and bad calls of one service per minute, for the longest window.
 *
 * @example
 * counter.add(true, Date.now());
 * counter.windows(Date.now()); // [{ good: 1, bad: 0 }, ...]
 */
export class BurnCounter {
  readonly #countsByMinute = new Map<number, MutableCounts>();

  add(isGood: boolean, nowUnixMs: number): void {
    const minute = Math.floor(nowUnixMs / minuteMs);
    let counts = this.#countsByMinute.get(minute);
    if (!counts) {
      counts = { good: 0, bad: 0 };
      this.#countsByMinute.set(minute, counts);
    }
    if (isGood) counts.good += 1;
    else counts.bad += 1;
  }

  /** Deletes the counts of minutes before the longest window. */
  prune(nowUnixMs: number): void {
    const firstRetainedMinute = Math.floor(nowUnixMs / minuteMs) - retainedMinutes + 1;
    for (const minute of this.#countsByMinute.keys()) {
      if (minute < firstRetainedMinute) this.#countsByMinute.delete(minute);
    }
  }

  /** Returns the counts of each of `burnWindows`; the current minute is part of every window. */
  windows(nowUnixMs: number): BurnCounts[] {
    const currentMinute = Math.floor(nowUnixMs / minuteMs);
    return burnWindows.map(({ minutes }) =>
      [...this.#countsByMinute]
        .filter(([minute]) => minute > currentMinute - minutes && minute <= currentMinute)
        .map(([, counts]) => counts)
        .reduce(addCounts, { good: 0, bad: 0 }),
    );
  }

  points(): Record<number, BurnCounts> {
    const points: Record<number, BurnCounts> = {};
    this.#countsByMinute.forEach((counts, minute) => {
      const pointNumber = Math.floor(minute / plotPointMinutes);
      points[pointNumber] = addCounts(points[pointNumber] ?? { good: 0, bad: 0 }, counts);
    });
    return points;
  }
}
