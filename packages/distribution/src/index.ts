export { burstDelayMs, burstWindowMs } from './timing.js';
export { createDistribution, type Distribution, type DistributionOptions } from './distribution.js';
export type { FloorSeed } from './join-floor.js';
export type { FetchCounters } from './snapshot-fetcher.js';
export type { SnapshotGuard } from './snapshot-guard.js';
export type { HeadSource, ParsedSection, SectionChecker, StoredSeeds } from './sources.js';
export { StrictGuard } from './strict-guard.js';
