import { StoreDataError, StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import { absentRevision, type PlatformStore, valueMaxBytes } from './platform-store.js';

/**
 * Writes a value that never changes under its key (content-addressed, or a history entry). If it is
 * already there, nothing is written; a lost answer is settled by one read.
 *
 * @example
 * const isNew = await writeContent(store, storeKeys.section(digest), body);
 * @returns whether this call wrote it.
 * @throws StoreNotWrittenError if it is not there, StoreDataError if the key holds another value.
 */
export const writeContent = async (
  store: PlatformStore,
  key: string,
  value: string,
): Promise<boolean> => {
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
  if (result.kind === 'written') return true;
  if (result.current?.value === value) return false;
  throw new StoreDataError(`${key} holds another value than expected`);
};
