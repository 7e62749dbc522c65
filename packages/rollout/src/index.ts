export {
  createRollout,
  type Rollout,
  type RolloutOptions,
  type RolloutComponents,
} from './create-rollout.js';
export {
  addVersionCounts,
  createVersionCounts,
  type RouteBlock,
  type VersionCounts,
  type VersionCountsPair,
} from './evidence-blocks.js';
export type { EvidenceRow } from './evidence-row.js';
export type { EvidenceMerge } from './evidence-merge.js';
export type { MoveState, StageBody, VerdictBody } from './move-state.js';
export { clockSkewMaxMs, watchAfterDoneMs } from './move-table.js';
export { readVerdictEntry, createVerdictEntry } from './move-registers.js';
export { alphaPerMove } from './sequential-version-test.js';
export {
  plannedPercent,
  sharePercent,
  stageCapPercent,
  stageCount,
  stagePercents,
  type SharePolicy,
} from './shares.js';
export { EvidenceStageGate, type StageGateInput, type StageGate } from './stage-gate.js';
export type { VerdictStore } from './verdict-writer.js';
export {
  EvidenceKind,
  type RollbackFinding,
  type VersionTest,
  type VersionTestFactory,
} from './version-test.js';
export { FakeMesh, type FakeDeliveryModel } from './fakes/fake-mesh.js';
export { FakeNode, type FakeNodeOptions } from './fakes/fake-node.js';
export {
  FakeTraffic,
  type FakeCall,
  type FakeOutcome,
  type FakeTrafficOptions,
} from './fakes/fake-traffic.js';
export {
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
  type FakeConfigurationOptions,
} from './fakes/fake-configuration.js';
