import {
  eraOf,
  HistoryCompactedError,
  isRemoval,
  type LeaseStore,
  type StoreItem,
} from '@sequoiafield/store';
import { monotonicNowMs, wallNowUnixMs, type RandomSource } from '@sequoiafield/tables';

/** Mean delay after a failed call; jittered by 50 % up and down. */
const retryMs = 400;
/**
 * Watches without a change after which the record is read again, in case that a store does not report the
 * end of a lease as a change.
 */
const quietWatchesMax = 4;

/** Dependencies of a `RecordWatch`. */
export interface RecordWatchOptions {
  readonly key: string;
  readonly waitMs: number;
  readonly store: LeaseStore;
  readonly random: RandomSource;
  readonly onFailed: (error: unknown) => void;
}

/** What is known of a record: complete up to a revision of the store. */
export interface KnownRecord {
  readonly item: StoreItem | undefined;
  readonly storeRevision: number;
}

/** Follows one record of the store with one call at a time. */
export class RecordWatch {
  #known: KnownRecord | undefined;

  #isBusy = false;

  #nextAtMs = 0;

  #quietWatches = 0;

  #era = 0;

  #eraSeenAtUnixMs: number | undefined;

  /** Increases with `forget`, so that the answer of an earlier call is ignored. */
  #epoch = 0;

  constructor(private readonly options: RecordWatchOptions) {}

  /** The record; undefined while it is not known. */
  get known(): KnownRecord | undefined {
    return this.#known;
  }

  /** Era of the store that this node knows; 0 if the store was never restored. */
  get era(): number {
    return this.#era;
  }

  /** Wall-clock time at which this node first saw the era; undefined in era 0. */
  get eraSeenAtUnixMs(): number | undefined {
    return this.#eraSeenAtUnixMs;
  }

  /** Starts the next call unless one is running. */
  run(): void {
    if (this.#isBusy || monotonicNowMs() < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#step()
      .catch((error: unknown) => {
        this.forget();
        if (error instanceof HistoryCompactedError) return;
        this.#nextAtMs = monotonicNowMs() + retryMs * (0.5 + this.options.random.next());
        this.options.onFailed(error);
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  /** Reads the record now, beside a watch that may be running. */
  async refresh(): Promise<void> {
    this.forget();
    await this.#read();
  }

  /** Drops what is known, when this node no longer follows the record. */
  forget(): void {
    this.#known = undefined;
    this.#epoch += 1;
  }

  async #step(): Promise<void> {
    if (this.#known && this.#quietWatches < quietWatchesMax) await this.#watch(this.#known);
    else await this.#read();
  }

  async #read(): Promise<void> {
    const epoch = this.#epoch;
    const { items, storeRevision } = await this.options.store.readRange(this.options.key);
    this.#quietWatches = 0;
    this.#learn(
      epoch,
      items.find(({ key }) => key === this.options.key),
      storeRevision,
    );
  }

  async #watch(known: KnownRecord): Promise<void> {
    const epoch = this.#epoch;
    const { key, waitMs, store } = this.options;
    const { changes, storeRevision } = await store.watchRange(key, known.storeRevision, waitMs);
    const last = changes.filter((change) => change.key === key).at(-1);
    this.#quietWatches = last ? 0 : this.#quietWatches + 1;
    if (!last) this.#learn(epoch, known.item, storeRevision);
    else this.#learn(epoch, isRemoval(last) ? undefined : last, storeRevision);
  }

  #learn(epoch: number, item: StoreItem | undefined, storeRevision: number): void {
    const era = eraOf(storeRevision);
    if (era > this.#era) {
      this.#era = era;
      this.#eraSeenAtUnixMs = wallNowUnixMs();
    }
    if (epoch === this.#epoch && storeRevision >= (this.#known?.storeRevision ?? 0))
      this.#known = { item, storeRevision };
  }
}
