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

  readonly #items = new Map<string, StoreItem>();

  readonly #changes: StoreChange[] = [];

  revision = 1;

  put(key: string, text: string): void {
    this.revision += 1;
    const written = createTextItem(key, text, this.revision);
    this.#items.set(key, written);
    this.#changes.push(written);
  }

  async readRange(prefix: string): Promise<StoreRange> {
    this.#recordCall();
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, storeRevision: this.revision };
  }

  async watchRange(_: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    this.#recordCall();
    const untilMs = monotonicNowMs() + waitMs;
    for (;;) {
      if (this.isHistoryCompacted) {
        this.isHistoryCompacted = false;
        throw new HistoryCompactedError(`Changes after revision ${afterRevision} are compacted`);
      }
      const changes = this.#changes.filter(({ revision }) => revision > afterRevision);
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

  #recordCall(): void {
    this.calls += 1;
    if (this.failure) throw this.failure;
  }
}
