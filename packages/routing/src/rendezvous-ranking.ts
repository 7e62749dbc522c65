import { createHash } from 'node:crypto';

/**
 * Ranks members by rendezvous hashing (Thaler and Ravishankar, 1998): every node has an order of its
 * own, and one member more or less changes at most one entry of a subset.
 *
 * @example
 * const ranking = new RendezvousRanking('node-7');
 * const subset = ranking.top(memberIds, 12);
 */
export class RendezvousRanking {
  readonly #scores = new Map<string, number>();

  constructor(private readonly selfId: string) {}

  /** Returns the `count` ids with the highest scores, highest first. */
  top(ids: readonly string[], count: number): readonly string[] {
    return ids
      .map((id) => ({ id, score: this.#score(id) }))
      .sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1))
      .slice(0, count)
      .map(({ id }) => id);
  }

  /** Deletes the cached scores of removed members. */
  prune(isKnown: (id: string) => boolean): void {
    for (const id of this.#scores.keys()) if (!isKnown(id)) this.#scores.delete(id);
  }

  #score(id: string): number {
    const known = this.#scores.get(id);
    if (known !== undefined) return known;
    const digest = createHash('sha256').update(this.selfId).update('\0').update(id).digest();
    const score = digest.readUIntBE(0, 6);
    this.#scores.set(id, score);
    return score;
  }
}
