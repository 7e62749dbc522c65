export { burstDelayMs, burstWindowMs } from './timing.js';
export { createDistribution, type Distribution, type DistributionOptions } from './distribution.js';
export type { SeedLocation } from './minimum-version-resolver.js';
export type { FetchCounters } from './snapshot-fetcher.js';
export type { SnapshotValidator } from './snapshot-validator.js';
export type {
  ConfigurationStore,
  ParsedSection,
  SectionChecker,
  StoredSeeds,
} from './configuration-store.js';
export { StrictSnapshotValidator } from './strict-snapshot-validator.js';
