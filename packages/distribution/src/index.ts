export { createDistribution, type Distribution, type DistributionOptions } from './distribution.js';
export type { FetchCounters } from './snapshot-fetcher.js';
export type { SnapshotGuard } from './snapshot-guard.js';
export type { HeadSource, SectionChecker, SeedsRecord, StoredSeeds } from './sources.js';
export { meshSectionName } from './sources.js';
export { StrictGuard } from './strict-guard.js';
