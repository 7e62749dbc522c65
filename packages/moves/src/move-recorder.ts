import { logEvents, type Logger } from '@sequoiafield/logger';
import type { RangeStore, StoreItem } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { MoveOutcome, type MoveOrder, type MoveRecord } from '@sequoiafield/types';

/** Encodes and decodes the platform's record of a move's outcome. */
export interface MoveRecordCodec {
  keyOf(service: string): string;
  encode(record: Omit<MoveRecord, 'revision'>): Uint8Array;
  /** Decodes a stored item; undefined if it is malformed. */
  decode(item: StoreItem): MoveRecord | undefined;
}

/** Mean delay before a failed write is retried; jittered by 50 % up and down. */
const retryMs = 300;

/** Dependencies of a recorder. */
export interface MoveRecorderDependencies {
  readonly store: RangeStore;
  readonly codec: MoveRecordCodec;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Writes the outcome of one order if its key still has the revision that was read before. Several
 * judges may write; the first final outcome is kept, and the other judges read it from the write
 * conflict.
 */
export class MoveRecorder {
  #revision = 0;

  /** Outcome that the store holds for this order. */
  #storedOutcome: MoveOutcome | undefined;

  #isBusy = false;

  #nextAtMs = 0;

  constructor(
    private readonly order: MoveOrder,
    private readonly dependencies: MoveRecorderDependencies,
    knownRecord: MoveRecord | undefined,
  ) {
    if (knownRecord) this.#applyRecord(knownRecord);
  }

  get storedOutcome(): MoveOutcome | undefined {
    return this.#storedOutcome;
  }

  /**
   * Starts to write an outcome unless it is stored already, the stored one is final, a write is
   * running, or the delay after a failed write has not passed.
   */
  record(outcome: MoveOutcome, fromVersion?: string): void {
    const isFinal =
      this.#storedOutcome !== undefined && this.#storedOutcome !== MoveOutcome.Running;
    if (isFinal || this.#storedOutcome === outcome) return;
    if (this.#isBusy || monotonicNowMs() < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#write(outcome, fromVersion)
      .catch((error: unknown) => {
        const { service, toVersion } = this.order;
        const fields = { service, toVersion, outcome, error: String(error) };
        this.dependencies.logger.log(logEvents.moveRecordFailed, fields);
        this.#nextAtMs = monotonicNowMs() + retryMs * (0.5 + this.dependencies.random.next());
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  async #write(outcome: MoveOutcome, fromVersion: string | undefined): Promise<void> {
    const { store, codec, logger } = this.dependencies;
    const { service, toVersion } = this.order;
    const key = codec.keyOf(service);
    const value = codec.encode({ service, toVersion, outcome, fromVersion });
    const result = await store.writeIf([{ key, revision: this.#revision }], [{ key, value }]);
    if (result.kind === 'written') {
      this.#revision = result.revision;
      this.#storedOutcome = outcome;
      logger.log(logEvents.moveRecorded, { service, toVersion, outcome });
      return;
    }
    const item = result.items.find((other) => other.key === key);
    const record = item && codec.decode(item);
    this.#revision = item?.revision ?? 0;
    if (record) this.#applyRecord(record);
  }

  /** Applies a record of the store; of a record of an earlier order, only the revision is used. */
  #applyRecord(record: MoveRecord): void {
    this.#revision = record.revision;
    const isForOrder =
      record.revision > this.order.revision && record.toVersion === this.order.toVersion;
    if (isForOrder) this.#storedOutcome = record.outcome;
  }
}
