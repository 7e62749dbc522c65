export {
  createRollout,
  type Rollout,
  type RolloutOptions,
  type RolloutParts,
} from './create-rollout.js';
export {
  addCounts,
  newCounts,
  type RouteBlock,
  type SideCounts,
  type SidePair,
} from './evidence-blocks.js';
export type { EvidenceRow } from './evidence-row.js';
export type { EvidenceMerge } from './evidence-merge.js';
export type { MoveState, StageBody, VerdictBody } from './move-state.js';
export { clockSkewMaxMs, watchMs } from './move-book.js';
export { readVerdictEntry, verdictEntry } from './registers.js';
export { alphaPerMove } from './sequential-version-test.js';
export {
  plannedPercent,
  sharePercent,
  stageCapPercent,
  stageCount,
  stagePercents,
  type SharePolicy,
} from './shares.js';
export { EvidenceStageGate, type GateInput, type StageGate } from './stage-gate.js';
export type { VerdictStore } from './verdict-writer.js';
export {
  EvidenceKind,
  type Finding,
  type VersionTest,
  type VersionTestFactory,
} from './version-test.js';
export { FakeMesh, type FakeNetwork } from './fakes/fake-mesh.js';
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
