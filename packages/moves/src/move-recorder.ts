import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  absentRevision,
  eraOf,
  isWrittenLater,
  type RangeStore,
  type StoreItem,
} from '@sequoiafield/store';
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

const isFinal = (outcome: MoveOutcome | undefined): boolean =>
  outcome !== undefined && outcome !== MoveOutcome.Running;

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
 * conflict. An outcome that was stored in a former era of the store is written again, since the copy from
 * which the store was restored may lack it.
 */
export class MoveRecorder {
  #revision = 0;

  /** Outcome that the store holds for this order. */
  #storedOutcome: MoveOutcome | undefined;

  /** Version from which the move started, as stored with the outcome. */
  #storedFromVersion: string | undefined;

  /** Revision at which the outcome was stored or read. */
  #storedRevision = 0;

  #isBusy = false;

  #nextAtMs = 0;

  constructor(
    private readonly order: MoveOrder,
    private readonly dependencies: MoveRecorderDependencies,
    knownRecord: MoveRecord | undefined,
    /** Lowest revision that the store is known to have had in its current era. */
    private eraStart = 0,
  ) {
    if (knownRecord) this.#applyRecord(knownRecord);
  }

  get storedOutcome(): MoveOutcome | undefined {
    return this.#storedOutcome;
  }

  /** Whether the outcome was stored in a former era, and the store may have lost it. */
  get isRewriteDue(): boolean {
    return this.#storedOutcome !== undefined && eraOf(this.#storedRevision) < eraOf(this.eraStart);
  }

  /** Whether the stored outcome is final. */
  get isFinal(): boolean {
    return isFinal(this.#storedOutcome);
  }

  /** Takes over the era of the store by its lowest known revision; called each tick. */
  noteEra(eraStart: number): void {
    this.eraStart = eraStart;
  }

  /**
   * Starts to write an outcome unless it is stored already, the stored one is final, a write is
   * running, or the delay after a failed write has not passed.
   */
  record(outcome: MoveOutcome, fromVersion?: string): void {
    const isStored = this.isFinal || this.#storedOutcome === outcome;
    if (isStored && !this.isRewriteDue) return;
    if (this.#isBusy || monotonicNowMs() < this.#nextAtMs) return;
    this.#isBusy = true;
    const stored = { outcome: this.#storedOutcome!, fromVersion: this.#storedFromVersion };
    this.#write(isStored ? stored : { outcome, fromVersion })
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

  async #write({
    outcome,
    fromVersion,
  }: Pick<MoveRecord, 'outcome' | 'fromVersion'>): Promise<void> {
    const { store, codec, logger } = this.dependencies;
    const { service, toVersion } = this.order;
    const key = codec.keyOf(service);
    const value = codec.encode({ service, toVersion, outcome, fromVersion });
    // The revision of a former era stands for nothing; the conflict delivers the copy's record.
    const isOfEra = eraOf(this.#revision) >= eraOf(this.eraStart);
    const revision = isOfEra ? this.#revision : absentRevision;
    const result = await store.writeIf([{ key, revision }], [{ key, value }]);
    if (result.kind === 'written') {
      this.#revision = result.revision;
      this.#setStored({ outcome, fromVersion, revision: result.revision });
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
      isWrittenLater(record.revision, this.order.revision, this.eraStart) &&
      record.toVersion === this.order.toVersion;
    // A copy may hold the record of a move that ran when it was made.
    const isOlder = this.isFinal && !isFinal(record.outcome);
    if (isForOrder && !isOlder) this.#setStored(record);
  }

  #setStored(record: Pick<MoveRecord, 'outcome' | 'fromVersion' | 'revision'>): void {
    this.#storedOutcome = record.outcome;
    this.#storedFromVersion = record.fromVersion;
    this.#storedRevision = record.revision;
  }
}
