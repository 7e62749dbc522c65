import { DistributionError } from '@sequoiafield/errors';
import {
  HistoryCompactedError,
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

/** Decodes a text: `7` is version 7 of the configuration, `out:dc` an evacuation. */
export const decodeOrderText = ({ value }: StoreItem): Order => {
  const text = Buffer.from(value).toString('utf8');
  if (text.startsWith('out:')) return { kind: OrderKind.Evacuation, dataCentre: text.slice(4) };
  const version = Number(text);
  if (Number.isNaN(version)) throw new DistributionError('malformed');
  const { configuration } = new SampleOrders().current();
  return { kind: OrderKind.Configuration, configuration: { ...configuration!, version } };
};

/** Item of the store with a text. */
export const createTextItem = (key: string, text: string, revision: number): StoreItem => ({
  key,
  value: Buffer.from(text),
  revision,
});

/** Store of the operators in memory; a test makes it fail. */
export class FakeRangeStore implements RangeStore {
  calls = 0;

  failure: Error | undefined;

  isHistoryCompacted = false;

  readonly #items = new Map<string, StoreItem>();

  readonly #log: StoreChange[] = [];

  revision = 1;

  put(key: string, text: string): void {
    this.revision += 1;
    const written = createTextItem(key, text, this.revision);
    this.#items.set(key, written);
    this.#log.push(written);
  }

  async readRange(prefix: string): Promise<StoreRange> {
    this.#count();
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, storeRevision: this.revision };
  }

  async watchRange(_: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    this.#count();
    const untilMs = monotonicNowMs() + waitMs;
    for (;;) {
      if (this.isHistoryCompacted) {
        this.isHistoryCompacted = false;
        throw new HistoryCompactedError('gone');
      }
      const changes = this.#log.filter(({ revision }) => revision > afterRevision);
      const isOver = changes.length > 0 || monotonicNowMs() >= untilMs;
      if (isOver) return { changes, storeRevision: this.revision };
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  writeIf(): Promise<WriteResult> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  #count(): void {
    this.calls += 1;
    if (this.failure) throw this.failure;
  }
}
