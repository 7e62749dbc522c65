import { burnWindows, plotPointMinutes, type BurnCounts } from './burn-types.js';

const minuteMs = 60_000;
const keptMinutes = Math.max(...burnWindows.map(({ minutes }) => minutes));

interface MutableCounts {
  good: number;
  bad: number;
}

const sum = (left: BurnCounts, right: BurnCounts): BurnCounts => ({
  good: left.good + right.good,
  bad: left.bad + right.bad,
});

/**
 * Counts of one service by minute for the longest window.
 *
 * @example
 * counter.add(true, Date.now());
 * counter.windows(Date.now()); // [{ good: 1, bad: 0 }, ...]
 */
export class BurnCounter {
  readonly #minutes = new Map<number, MutableCounts>();

  add(isGood: boolean, nowUnixMs: number): void {
    const minute = Math.floor(nowUnixMs / minuteMs);
    let counts = this.#minutes.get(minute);
    if (!counts) {
      counts = { good: 0, bad: 0 };
      this.#minutes.set(minute, counts);
    }
    if (isGood) counts.good += 1;
    else counts.bad += 1;
  }

  /** Forgets minutes that left the longest window. */
  prune(nowUnixMs: number): void {
    const first = Math.floor(nowUnixMs / minuteMs) - keptMinutes + 1;
    for (const minute of this.#minutes.keys()) {
      if (minute < first) this.#minutes.delete(minute);
    }
  }

  /** Counts of each of `burnWindows`; the running minute is part of all. */
  windows(nowUnixMs: number): BurnCounts[] {
    const now = Math.floor(nowUnixMs / minuteMs);
    return burnWindows.map(({ minutes }) =>
      [...this.#minutes]
        .filter(([minute]) => minute > now - minutes && minute <= now)
        .map(([, counts]) => counts)
        .reduce(sum, { good: 0, bad: 0 }),
    );
  }

  points(): Record<number, BurnCounts> {
    const points: Record<number, BurnCounts> = {};
    this.#minutes.forEach((counts, minute) => {
      const point = Math.floor(minute / plotPointMinutes);
      points[point] = sum(points[point] ?? { good: 0, bad: 0 }, counts);
    });
    return points;
  }
}
