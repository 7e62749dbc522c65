import type { System, Tick } from '@sequoiafield/tables';
import type { BurnCounter } from './burn-counter.js';

const pruneIntervalMs = 60_000;

/** Deletes the counts of minutes before the longest window once a minute. */
export class PruneSystem implements System {
  readonly name = 'burn windows';

  #nextPruneAtMs = 0;

  constructor(private readonly counters: ReadonlyMap<string, BurnCounter>) {}

  run({ nowMs, nowUnixMs }: Tick): void {
    if (nowMs < this.#nextPruneAtMs) return;
    this.#nextPruneAtMs = nowMs + pruneIntervalMs;
    this.counters.forEach((counter) => counter.prune(nowUnixMs));
  }
}
