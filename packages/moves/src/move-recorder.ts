import { logEvents, type Logger } from '@sequoiafield/logger';
import type { RangeStore, StoreItem } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { MoveOutcome, type MoveOrder, type MoveRecord } from '@sequoiafield/types';

/** The platform's form of the outcome of a move. */
export interface MoveRecordCodec {
  keyOf(service: string): string;
  encode(record: Pick<MoveRecord, 'service' | 'toVersion' | 'outcome'>): Uint8Array;
  /** Undefined if the item is malformed. */
  decode(item: StoreItem): MoveRecord | undefined;
}

/** Wait before a failed write is repeated, jittered. */
const retryMs = 300;

/** What a recorder works with. */
export interface MoveRecorderDependencies {
  readonly store: RangeStore;
  readonly codec: MoveRecordCodec;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Writes the outcome of one order under the revision that was read before. Several judges may write;
 * the first final outcome stands, and the others learn it from the conflict.
 */
export class MoveRecorder {
  #revision = 0;

  /** Outcome that the store holds for this order. */
  #held: MoveOutcome | undefined;

  #isBusy = false;

  #nextAtMs = 0;

  constructor(
    private readonly order: MoveOrder,
    private readonly parts: MoveRecorderDependencies,
    known: MoveRecord | undefined,
  ) {
    if (known) this.#take(known);
  }

  get storedOutcome(): MoveOutcome | undefined {
    return this.#held;
  }

  /** Starts to write an outcome, unless it is held, a write runs or the last one failed just now. */
  record(outcome: MoveOutcome): void {
    const isFinal = this.#held !== undefined && this.#held !== MoveOutcome.Running;
    if (isFinal || this.#held === outcome) return;
    if (this.#isBusy || monotonicNowMs() < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#write(outcome)
      .catch((error: unknown) => {
        const { service, toVersion } = this.order;
        const fields = { service, toVersion, outcome, error: String(error) };
        this.parts.logger.log(logEvents.moveRecordFailed, fields);
        this.#nextAtMs = monotonicNowMs() + retryMs * (0.5 + this.parts.random.next());
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  async #write(outcome: MoveOutcome): Promise<void> {
    const { store, codec, logger } = this.parts;
    const { service, toVersion } = this.order;
    const key = codec.keyOf(service);
    const value = codec.encode({ service, toVersion, outcome });
    const result = await store.writeIf([{ key, revision: this.#revision }], [{ key, value }]);
    if (result.kind === 'written') {
      this.#revision = result.revision;
      this.#held = outcome;
      logger.log(logEvents.moveRecorded, { service, toVersion, outcome });
      return;
    }
    const item = result.items.find((other) => other.key === key);
    const record = item && codec.decode(item);
    this.#revision = item?.revision ?? 0;
    if (record) this.#take(record);
  }

  /** Takes over what the store holds; a record of an earlier order only gives its revision. */
  #take(record: MoveRecord): void {
    this.#revision = record.revision;
    const isOfOrder =
      record.revision > this.order.revision && record.toVersion === this.order.toVersion;
    if (isOfOrder) this.#held = record.outcome;
  }
}
