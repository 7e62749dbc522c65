import { DistributionError } from '@sequoiafield/errors';
import {
  eraOf,
  HistoryCompactedError,
  isRemoval,
  rawRevisionOf,
  revisionInEra,
  StoreNotWrittenError,
  type RangeStore,
  type StoreChange,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type WriteResult,
} from '@sequoiafield/store';
import { monotonicNowMs } from '@sequoiafield/tables';
import { SampleOrders } from '@sequoiafield/test-kit';
import { OrderKind, type Order } from '../index.js';

/** Decodes a text: `7` is version 7 of the configuration, `out:dc` an evacuation of `dc`. */
export const decodeOrderText = ({ value }: StoreItem): Order => {
  const text = Buffer.from(value).toString('utf8');
  if (text.startsWith('out:')) return { kind: OrderKind.Evacuation, dataCentre: text.slice(4) };
  const version = Number(text);
  if (Number.isNaN(version)) throw new DistributionError(`Order text is not a number: ${text}`);
  const { configuration } = new SampleOrders().current();
  return { kind: OrderKind.Configuration, configuration: { ...configuration!, version } };
};

/** Creates a store item whose value is a text. */
export const createTextItem = (key: string, text: string, revision: number): StoreItem => ({
  key,
  value: Buffer.from(text),
  revision,
});

/** Fake in-memory store of the operators; tests can make its calls fail. */
export class FakeRangeStore implements RangeStore {
  calls = 0;

  failure: Error | undefined;

  isHistoryCompacted = false;

  readonly #changes: StoreChange[] = [];

  #era = 0;

  #rawRevision = 1;

  get revision(): number {
    return revisionInEra(this.#era, this.#rawRevision);
  }

  put(key: string, text: string): void {
    this.#rawRevision += 1;
    this.#changes.push(createTextItem(key, text, this.#rawRevision));
  }

  remove(key: string): void {
    this.#rawRevision += 1;
    this.#changes.push({ key, revision: this.#rawRevision, isRemoved: true });
  }

  /** Restores the store from a copy that lacks the last revisions, which are given again. */
  restore(lostRevisions: number): void {
    this.#rawRevision -= lostRevisions;
    const kept = this.#changes.filter(({ revision }) => revision <= this.#rawRevision);
    this.#changes.splice(0, this.#changes.length, ...kept);
    this.#era += 1;
  }

  async readRange(prefix: string): Promise<StoreRange> {
    this.#recordCall();
    const changes = this.#changesAfter(0).filter(({ key }) => key.startsWith(prefix));
    const last = [...new Map(changes.map((change) => [change.key, change])).values()];
    const items = last.filter((change): change is StoreItem => !isRemoval(change));
    return { items, storeRevision: this.revision };
  }

  async watchRange(_: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    this.#recordCall();
    const untilMs = monotonicNowMs() + waitMs;
    for (;;) {
      if (this.isHistoryCompacted || eraOf(afterRevision) < this.#era) {
        this.isHistoryCompacted = false;
        throw new HistoryCompactedError(`Changes after revision ${afterRevision} are compacted`);
      }
      const changes = this.#changesAfter(rawRevisionOf(afterRevision));
      const isDone = changes.length > 0 || monotonicNowMs() >= untilMs;
      if (isDone) return { changes, storeRevision: this.revision };
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  writeIf(): Promise<WriteResult> {
    return Promise.reject(
      new StoreNotWrittenError('The fake range store does not support writeIf'),
    );
  }

  #changesAfter(rawRevision: number): StoreChange[] {
    const changes = this.#changes.filter(({ revision }) => revision > rawRevision);
    return changes.map((change) => ({
      ...change,
      revision: revisionInEra(this.#era, change.revision),
    }));
  }

  #recordCall(): void {
    this.calls += 1;
    if (this.failure) throw this.failure;
  }
}
