import type { System, Tick } from '@sequoiafield/tables';
import type { BurnCounter } from './burn-counter.js';

const pruneIntervalMs = 60_000;

/** Forgets old minutes once a minute. */
export class PruneSystem implements System {
  readonly name = 'burn windows';

  #nextAtMs = 0;

  constructor(private readonly counters: ReadonlyMap<string, BurnCounter>) {}

  run({ nowMs, nowUnixMs }: Tick): void {
    if (nowMs < this.#nextAtMs) return;
    this.#nextAtMs = nowMs + pruneIntervalMs;
    this.counters.forEach((counter) => counter.prune(nowUnixMs));
  }
}
