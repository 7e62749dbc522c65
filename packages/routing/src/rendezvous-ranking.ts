import { createHash } from 'node:crypto';

/**
 * Ranks members by rendezvous hashing (Thaler and Ravishankar, 1998): every node prefers another
 * order, and one member more or less changes one place of a subset.
 *
 * @example
 * const ranking = new RendezvousRanking('node-7');
 * const subset = ranking.top(memberIds, 12);
 */
export class RendezvousRanking {
  readonly #scores = new Map<string, number>();

  constructor(private readonly selfId: string) {}

  /** The `count` ids with the highest scores, highest first. */
  top(ids: readonly string[], count: number): readonly string[] {
    return ids
      .map((id) => ({ id, score: this.#score(id) }))
      .sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1))
      .slice(0, count)
      .map(({ id }) => id);
  }

  /** Drops the cached scores of members that are gone. */
  prune(isKnown: (id: string) => boolean): void {
    for (const id of this.#scores.keys()) if (!isKnown(id)) this.#scores.delete(id);
  }

  #score(id: string): number {
    const known = this.#scores.get(id);
    if (known !== undefined) return known;
    const score = createHash('sha256').update(this.selfId).update('\0').update(id).digest();
    const value = score.readUIntBE(0, 6);
    this.#scores.set(id, value);
    return value;
  }
}
