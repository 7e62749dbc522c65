export type { AcceptRequest, AcceptResult } from './accept-operation.js';
export {
  ConfigReader,
  historyReadMax,
  listChangedSections,
  type ConfigChange,
  type ReadHead,
} from './config-reader.js';
export { ConfigRepository, verdictRank, type ReadSeeds } from './config-repository.js';
export {
  AcceptConflictError,
  AcceptUnknownError,
  MoveDecidedError,
  NotAcceptedError,
  StoreDataError,
  StoreNotWrittenError,
  StoreOutcomeUnknownError,
} from './errors.js';
export { HttpStore, type HttpStoreOptions } from './http-store.js';
export { storeKeys } from './keys.js';
export type { RetentionOptions } from './retire-versions.js';
export { MemoryFault, MemoryStore, type MemoryCall } from './memory-store.js';
export {
  absentRevision,
  valueMaxBytes,
  type DeleteResult,
  type PlatformStore,
  type StoreEntry,
  type SwapResult,
} from './platform-store.js';
export {
  HistoryGoneError,
  isRemoval,
  type RangeStore,
  type StoreChange,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type StoreRemoval,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from './range-store.js';
