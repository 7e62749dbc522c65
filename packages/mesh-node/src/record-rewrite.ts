import type { Seed } from '@sequoiafield/types';

/** Delay of each seed's rewrite after the seed before it, so that normally only one writes. */
const rewriteDelayMs = 1000;

/**
 * Decides which node writes the seeds again after a restore of the store, and when: the seeds of the last
 * record, one after the other, until one has written.
 *
 * @example
 * rewrite.noteEra(storeEra(), record.seeds, self.id, nowMs);
 * if (rewrite.isDue(nowMs)) writeAgain(rewrite.lostSeeds(recordOfTheCopy.seeds));
 */
export class RecordRewrite {
  #era = 0;

  #heldSeeds: readonly Seed[] = [];

  #dueAtMs = Number.POSITIVE_INFINITY;

  /** Begins a rewrite if the era is new and this node is one of the seeds. */
  noteEra(era: number, seeds: readonly Seed[], selfId: string, nowMs: number): void {
    if (era <= this.#era) return;
    this.#era = era;
    const rank = seeds.findIndex(({ id }) => id === selfId);
    if (rank < 0) return;
    this.#heldSeeds = seeds;
    this.#dueAtMs = nowMs + rank * rewriteDelayMs;
  }

  isDue(nowMs: number): boolean {
    return nowMs >= this.#dueAtMs;
  }

  /** Returns the seeds that a record of the new era lacks. */
  lostSeeds(seeds: readonly Seed[]): readonly Seed[] {
    const presentIds = new Set(seeds.map(({ id }) => id));
    return this.#heldSeeds.filter(({ id }) => !presentIds.has(id));
  }

  /** Puts the rewrite off after an attempt, which may fail. */
  delay(nowMs: number): void {
    this.#dueAtMs = nowMs + rewriteDelayMs;
  }

  end(): void {
    this.#dueAtMs = Number.POSITIVE_INFINITY;
  }
}
