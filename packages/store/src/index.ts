export type { AcceptRequest, AcceptResult } from './accept-operation.js';
export {
  ConfigReader,
  historyReadMaxEntries,
  listChangedSections,
  type ConfigChange,
  type HeadWithRevision,
} from './config-reader.js';
export { ConfigRepository, verdictRank, type SeedsWithRevision } from './config-repository.js';
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
export { storeKeys } from './store-keys.js';
export type { RetentionOptions } from './version-retirement.js';
export { StoreFault, MemoryStore, type StoreCall } from './memory-store.js';
export {
  absentRevision,
  valueMaxBytes,
  type DeleteResult,
  type PlatformStore,
  type StoreEntry,
  type SwapResult,
} from './platform-store.js';
export {
  HistoryCompactedError,
  isRemoval,
  type RangeStore,
  type ReadOptions,
  type StoreChange,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type StoreRemoval,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from './range-store.js';
export { CountedRangeStore, type StoreCallCounters } from './counted-range-store.js';
export { MemoryLeaseStore, type LeaseStoreCall } from './memory-lease-store.js';
export type {
  LeasedWrite,
  LeaseStore,
  StoreLease,
  StoreTransaction,
  TransactionResult,
} from './lease-store.js';
export { eraOf, isWrittenLater, rawRevisionOf, revisionInEra } from './store-era.js';
