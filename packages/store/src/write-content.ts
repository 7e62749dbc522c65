import { StoreDataError, StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import {
  absentRevision,
  valueMaxBytes,
  type PlatformStore,
  type StoreEntry,
} from './platform-store.js';

/** Each further attempt means that the value was deleted since the one before. */
const claimAttempts = 3;

/** Creates the key; the entry that is there instead if it exists already. */
const create = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<StoreEntry | undefined> => {
  const bytes = Buffer.byteLength(value);
  if (bytes > valueMaxBytes) {
    throw new StoreNotWrittenError(`${key} has ${bytes} bytes; at most ${valueMaxBytes} fit`);
  }
  const result = await store
    .compareAndSwap(key, absentRevision, value)
    .catch(async (error: unknown) => {
      if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      const entry = await store.get(key);
      if (entry) return { kind: 'conflict' as const, current: entry };
      throw new StoreNotWrittenError(`${key} was not found after its answer was lost:`, {
        cause: error,
      });
    });
  if (result.kind === 'written') return undefined;
  if (result.current?.value === value) return result.current;
  throw new StoreDataError(`${key} holds another value than expected`);
};

/**
 * Writes a value that never changes under its key (a manifest or a history entry). If it is already
 * there, nothing is written; a lost answer is settled by one read.
 *
 * @example
 * const isNew = await writeContent(store, storeKeys.manifest(digest), body);
 * @returns whether this call wrote it.
 * @throws StoreNotWrittenError if it is not there, StoreDataError if the key holds another value.
 */
export const writeContent = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<boolean> => (await create(store, key, value)) === undefined;

/** Raises the revision of an entry; false if it was deleted meanwhile. */
const touch = async (store: PlatformStore, key: string, entry: StoreEntry): Promise<boolean> => {
  try {
    const result = await store.compareAndSwap(key, entry.revision, entry.value);
    // A conflict with the same value is the claim of another operator.
    return result.kind === 'written' || result.current?.value === entry.value;
  } catch (error) {
    if (!(error instanceof StoreOutcomeUnknownError)) throw error;
    const current = await store.get(key);
    if (!current) return false;
    if (current.revision > entry.revision) return true;
    throw new StoreNotWrittenError(`${key} was not touched:`, { cause: error });
  }
};

/**
 * Writes a section, or raises the revision of one that is there, so that the retirement of old
 * versions does not delete what a version to come names. Calls: 1 write if it is new, 2 if not, and
 * 1 read per lost answer.
 *
 * @example
 * await claimContent(store, storeKeys.section(digest), body);
 * @throws StoreNotWrittenError if it is not there, StoreDataError if the key holds another value.
 */
export const claimContent = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<void> => {
  for (let attempt = 0; attempt < claimAttempts; attempt += 1) {
    const present = await create(store, key, value);
    if (!present || (await touch(store, key, present))) return;
  }
  throw new StoreNotWrittenError(`${key} was deleted ${claimAttempts} times while it was written`);
};
