import { StoreDataError, StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import {
  absentRevision,
  valueMaxBytes,
  type PlatformStore,
  type StoreEntry,
} from './platform-store.js';

/** Maximum attempts; another one is made only if the value was deleted since the previous one. */
const claimAttemptsMax = 3;

/** Creates the key; returns the existing entry if the key already has the value. */
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
      throw new StoreNotWrittenError(
        `${key} was not found after the answer to its write was lost:`,
        {
          cause: error,
        },
      );
    });
  if (result.kind === 'written') return undefined;
  if (result.current?.value === value) return result.current;
  throw new StoreDataError(`${key} holds another value than expected`);
};

/**
 * Writes a value that never changes under its key (a manifest or a history entry). If it is already
 * there, nothing is written; after a lost answer one read determines the outcome.
 *
 * @example
 * const isNew = await writeContent(store, storeKeys.manifest(digest), body);
 * @returns whether this call wrote the value.
 * @throws StoreNotWrittenError if the value was not written, StoreDataError if the key holds another
 * value.
 */
export const writeContent = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<boolean> => (await create(store, key, value)) === undefined;

/** Raises the revision of an entry; returns false if it was deleted meanwhile. */
const touch = async (store: PlatformStore, key: string, entry: StoreEntry): Promise<boolean> => {
  try {
    const result = await store.compareAndSwap(key, entry.revision, entry.value);
    // A conflict with the same value means that another operator claimed the entry.
    return result.kind === 'written' || result.current?.value === entry.value;
  } catch (error) {
    if (!(error instanceof StoreOutcomeUnknownError)) throw error;
    const current = await store.get(key);
    if (!current) return false;
    if (current.revision > entry.revision) return true;
    throw new StoreNotWrittenError(`The revision of ${key} was not raised:`, { cause: error });
  }
};

/**
 * Writes a section, or raises the revision of an existing one, so that the retirement of old versions
 * does not delete a section that a later version names. Calls: 1 write if it is new, 2 if not, and
 * 1 read per lost answer.
 *
 * @example
 * await claimContent(store, storeKeys.section(digest), body);
 * @throws StoreNotWrittenError if the value was not written, StoreDataError if the key holds another
 * value.
 */
export const claimContent = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<void> => {
  for (let attempt = 0; attempt < claimAttemptsMax; attempt += 1) {
    const existing = await create(store, key, value);
    if (!existing || (await touch(store, key, existing))) return;
  }
  throw new StoreNotWrittenError(
    `${key} was deleted ${claimAttemptsMax} times while it was written`,
  );
};
