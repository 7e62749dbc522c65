import {
  eraOf,
  rawRevisionOf,
  revisionInEra,
  type RangeStore,
  type ReadOptions,
  type StoreItem,
  type StoreRange,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from '@sequoiafield/store';
import { monotonicNowMs } from '@sequoiafield/tables';

/** Time by which stale reads lag behind. */
const staleMs = 1000;
/** Price of a stale read in calls. */
const stalePrice = 0.1;

/** Store with one record, whose stale reads lag and which prices its calls. */
export class SeedsStore implements Pick<RangeStore, 'readRange' | 'writeIf'> {
  pricedCalls = 0;

  writes = 0;

  #era = 0;

  readonly #versions: { readonly atMs: number; readonly item: StoreItem }[] = [];

  async readRange(_: string, { mayBeStale }: ReadOptions = {}): Promise<StoreRange> {
    this.pricedCalls += mayBeStale ? stalePrice : 1;
    const seenAtMs = monotonicNowMs() - (mayBeStale ? staleMs : 0);
    const item = this.#versions.filter(({ atMs }) => atMs <= seenAtMs).at(-1)?.item;
    return { items: item ? [item] : [], storeRevision: item?.revision ?? this.#firstRevision() };
  }

  /** Restores the store from a copy that lacks the last versions of the record. */
  restore(lostVersions: number): void {
    this.#era += 1;
    const copied = this.#versions.splice(0).slice(0, -lostVersions);
    copied.forEach(({ atMs, item }) => {
      const revision = revisionInEra(this.#era, rawRevisionOf(item.revision));
      this.#versions.push({ atMs, item: { ...item, revision } });
    });
  }

  #firstRevision(): number {
    return revisionInEra(this.#era, 1);
  }

  async writeIf(
    conditions: readonly WriteCondition[],
    writes: readonly StoreWrite[],
  ): Promise<WriteResult> {
    this.pricedCalls += 1;
    const { revision: expected } = conditions[0]!;
    const isFormer = expected !== 0 && eraOf(expected) < this.#era;
    if (isFormer) return { kind: 'conflict', items: [] };
    const current = this.current();
    if ((current?.revision ?? 0) !== expected) {
      return { kind: 'conflict', items: current ? [current] : [] };
    }
    this.writes += 1;
    const revision = (current?.revision ?? this.#firstRevision()) + 1;
    this.#versions.push({ atMs: monotonicNowMs(), item: { ...writes[0]!, revision } });
    return { kind: 'written', revision };
  }

  current(): StoreItem | undefined {
    return this.#versions.at(-1)?.item;
  }
}
