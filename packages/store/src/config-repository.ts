import { parseSeeds, parseVerdict, toCanonicalJson } from '@sequoiafield/config';
import {
  MoveVerdict,
  type HeadRecord,
  type SeedRecord,
  type VerdictRecord,
} from '@sequoiafield/types';
import { AcceptOperation, type AcceptRequest, type AcceptResult } from './accept-operation.js';
import { ConfigReader } from './config-reader.js';
import { StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import { storeKeys } from './store-keys.js';
import { VersionRetirement, type RetentionOptions } from './version-retirement.js';
import { absentRevision, type PlatformStore, type StoreEntry } from './platform-store.js';

/** Seeds record of a data centre with its revision in the store. */
export interface SeedsWithRevision {
  readonly record: SeedRecord;
  readonly revision: number;
}

/** Maximum swaps for one verdict; each conflict means that another node wrote one meanwhile. */
const verdictSwapsMax = 4;

const verdictRanks: Readonly<Record<MoveVerdict, number>> = {
  [MoveVerdict.Undecided]: 0,
  [MoveVerdict.Done]: 1,
  [MoveVerdict.RolledBack]: 2,
};

/**
 * Returns the rank of a verdict: a higher rank replaces a lower one, never the other way round.
 *
 * @example
 * verdictRank(MoveVerdict.RolledBack) > verdictRank(MoveVerdict.Done); // true
 */
export const verdictRank = (verdict: MoveVerdict): number => verdictRanks[verdict];

/**
 * Reads and writes the configuration, its history, verdicts and seeds in the platform's store.
 *
 * @example
 * const repository = new ConfigRepository(store);
 * const result = await repository.accept({ configuration, author: 'ada', operationId });
 */
export class ConfigRepository extends ConfigReader {
  readonly #store: PlatformStore;

  constructor(store: PlatformStore) {
    super(store);
    this.#store = store;
  }

  /**
   * Accepts a configuration: reads the head, writes the sections that are new, then the manifest,
   * and swaps the head once. Calls: 3 reads, one read per changed service with moves and per new
   * move, one or two writes per section that is new to the head, 4 more writes, and at most 6 reads
   * to find the outcome after a lost answer.
   *
   * @throws NotAcceptedError if it was certainly not accepted, AcceptConflictError if another
   * operator's configuration was accepted first, MoveDecidedError if a move has the id of a decided
   * one, AcceptUnknownError if the answer was lost and reading back did not show the outcome.
   */
  async accept(request: AcceptRequest): Promise<AcceptResult> {
    return new AcceptOperation(this.#store, this, request).run();
  }

  /**
   * Deletes sections and manifests that are named only by versions more than 64 versions and 1 h
   * behind the head; history entries stay. At most 28 calls; later runs delete the rest.
   *
   * @returns the number of retired versions.
   * @throws StoreNotWrittenError or StoreOutcomeUnknownError; calling again later is safe.
   */
  async retireOldVersions(head: HeadRecord, options?: RetentionOptions): Promise<number> {
    return new VersionRetirement(this.#store, options).run(head);
  }

  /** Reads the seeds of a data centre; undefined if none were written. One call. */
  async readSeeds(dataCentre: string): Promise<SeedsWithRevision | undefined> {
    const entry = await this.#store.get(storeKeys.seeds(dataCentre));
    return entry && { record: parseSeeds(entry.value), revision: entry.revision };
  }

  /**
   * Writes the seeds of a data centre if the record still has the revision that was read
   * (`undefined`: no record). One call.
   *
   * @returns false if another node refreshed them first; the caller need not write them again.
   */
  async writeSeeds(record: SeedRecord, readRevision: number | undefined): Promise<boolean> {
    const key = storeKeys.seeds(record.dataCentre);
    const value = toCanonicalJson(record);
    const expectedRevision = readRevision ?? absentRevision;
    const result = await this.#store.compareAndSwap(key, expectedRevision, value);
    return result.kind === 'written';
  }

  /**
   * Writes a verdict unless the store holds one of the same or a higher rank. At most 1 read and 4
   * writes, and 1 read after a lost answer.
   *
   * @returns the verdict that the store holds now.
   * @throws StoreNotWrittenError or StoreOutcomeUnknownError; calling again later is safe.
   */
  async writeVerdict(record: VerdictRecord): Promise<VerdictRecord> {
    const key = storeKeys.verdict(record.moveId);
    const value = toCanonicalJson(record);
    let current = await this.#store.get(key);
    for (let swap = 0; swap < verdictSwapsMax; swap += 1) {
      const stored = this.#readVerdictToKeep(current, record);
      if (stored) return stored;
      const result = await this.#store
        .compareAndSwap(key, current?.revision ?? absentRevision, value)
        .catch((error: unknown) => this.#readAfterLostAnswer(key, record, error));
      if (result.kind === 'written') return record;
      current = result.current;
    }
    throw new StoreNotWrittenError(
      `The verdict on ${record.moveId} met a conflict in each of ${verdictSwapsMax} swaps`,
    );
  }

  #readVerdictToKeep(
    entry: StoreEntry | undefined,
    wanted: VerdictRecord,
  ): VerdictRecord | undefined {
    if (!entry) return undefined;
    const stored = parseVerdict(entry.value);
    return verdictRank(stored.verdict) >= verdictRank(wanted.verdict) ? stored : undefined;
  }

  async #readAfterLostAnswer(
    key: string,
    wanted: VerdictRecord,
    error: unknown,
  ): Promise<{ readonly kind: 'conflict'; readonly current: StoreEntry | undefined }> {
    if (!(error instanceof StoreOutcomeUnknownError)) throw error;
    const current = await this.#store.get(key).catch(() => undefined);
    if (!this.#readVerdictToKeep(current, wanted)) throw error;
    return { kind: 'conflict', current };
  }
}
