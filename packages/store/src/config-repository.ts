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

/** Seeds of a data centre with the store's revision of them. */
export interface SeedsWithRevision {
  readonly record: SeedRecord;
  readonly revision: number;
}

/** Swaps tried for one verdict; each lost race means that another node wrote one. */
const verdictSwapsMax = 4;

const verdictRanks: Readonly<Record<MoveVerdict, number>> = {
  [MoveVerdict.Undecided]: 0,
  [MoveVerdict.Done]: 1,
  [MoveVerdict.RolledBack]: 2,
};

/**
 * Order of verdicts: a later one replaces an earlier one, never the other way round.
 *
 * @example
 * verdictRank(MoveVerdict.RolledBack) > verdictRank(MoveVerdict.Done); // true
 */
export const verdictRank = (verdict: MoveVerdict): number => verdictRanks[verdict];

/**
 * The configuration, its history, verdicts and seeds in the platform's store.
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
   * move, one or two writes per section that is new to the head, 4 more writes, and at most 6 reads to settle a lost answer.
   *
   * @throws NotAcceptedError: certainly not accepted; AcceptConflictError: another operator's was;
   * MoveDecidedError: a move has the id of a decided one; AcceptUnknownError: the answer was
   * lost and reading back did not settle it.
   */
  async accept(request: AcceptRequest): Promise<AcceptResult> {
    return new AcceptOperation(this.#store, this, request).run();
  }

  /**
   * Deletes sections and manifests that only versions name which are more than 64 versions and 1 h
   * behind the head; history entries stay. At most 28 calls; what is left is for the next run.
   *
   * @returns how many versions were retired.
   * @throws StoreNotWrittenError or StoreOutcomeUnknownError; calling again later is safe.
   */
  async retireOldVersions(head: HeadRecord, options?: RetentionOptions): Promise<number> {
    return new VersionRetirement(this.#store, options).run(head);
  }

  /** Seeds of a data centre, or undefined if none were written. One call. */
  async readSeeds(dataCentre: string): Promise<SeedsWithRevision | undefined> {
    const entry = await this.#store.get(storeKeys.seeds(dataCentre));
    return entry && { record: parseSeeds(entry.value), revision: entry.revision };
  }

  /**
   * Writes seeds if they still have the revision that was read (`undefined`: none). One call.
   *
   * @returns false if another node refreshed them first, which serves as well.
   */
  async writeSeeds(record: SeedRecord, readRevision: number | undefined): Promise<boolean> {
    const key = storeKeys.seeds(record.dataCentre);
    const value = toCanonicalJson(record);
    const expectedRevision = readRevision ?? absentRevision;
    const result = await this.#store.compareAndSwap(key, expectedRevision, value);
    return result.kind === 'written';
  }

  /**
   * Writes a verdict unless the store has one of the same or a higher rank. At most 1 read and 4
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
      const kept = this.#verdictToKeep(current, record);
      if (kept) return kept;
      const result = await this.#store
        .compareAndSwap(key, current?.revision ?? absentRevision, value)
        .catch((error: unknown) => this.#readAfterLostAnswer(key, record, error));
      if (result.kind === 'written') return record;
      current = result.current;
    }
    throw new StoreNotWrittenError(`The verdict on ${record.moveId} lost every race`);
  }

  #verdictToKeep(entry: StoreEntry | undefined, wanted: VerdictRecord): VerdictRecord | undefined {
    if (!entry) return undefined;
    const kept = parseVerdict(entry.value);
    return verdictRank(kept.verdict) >= verdictRank(wanted.verdict) ? kept : undefined;
  }

  async #readAfterLostAnswer(
    key: string,
    wanted: VerdictRecord,
    error: unknown,
  ): Promise<{ readonly kind: 'conflict'; readonly current: StoreEntry | undefined }> {
    if (!(error instanceof StoreOutcomeUnknownError)) throw error;
    const current = await this.#store.get(key).catch(() => undefined);
    if (!this.#verdictToKeep(current, wanted)) throw error;
    return { kind: 'conflict', current };
  }
}
