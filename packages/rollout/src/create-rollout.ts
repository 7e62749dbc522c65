import type { Logger } from '@sequoiafield/logger';
import { SeededRandom, wallNowUnixMs, type RandomSource, type System } from '@sequoiafield/tables';
import type {
  DirectMessenger,
  EvidenceRecorder,
  MemberView,
  RegisterGossip,
  RolloutView,
  ShareTracker,
  SnapshotView,
} from '@sequoiafield/types';
import { EvidenceExchange } from './evidence-exchange.js';
import { MaximumMerge, type EvidenceMerge } from './evidence-merge.js';
import { JudgeSystem } from './judge-system.js';
import { MoveTable } from './move-table.js';
import { PeerOutageChecker, type OutageChecker } from './outage-checker.js';
import { OwnServerHealth } from './own-server-health.js';
import { MoveEvidenceRecorder } from './move-evidence-recorder.js';
import { MoveRegisters } from './move-registers.js';
import { hash32 } from './rendezvous.js';
import { MoveTableView } from './move-table-view.js';
import { SequentialVersionTest } from './sequential-version-test.js';
import { ShareObserver } from './share-observer.js';
import { MoveRefreshSystem } from './move-refresh-system.js';
import { PlannedSharePolicy, type SharePolicy } from './shares.js';
import { EvidenceStageGate, type StageGate } from './stage-gate.js';
import { VerdictWriter, type VerdictStore } from './verdict-writer.js';
import type { VersionTestFactory } from './version-test.js';

/** Components that tests and the benchmark's baseline replace. */
export interface RolloutComponents {
  readonly sharePolicy: SharePolicy;
  readonly evidenceMerge: EvidenceMerge;
  readonly createTest: VersionTestFactory;
  readonly stageGate: StageGate;
  readonly outageChecker: OutageChecker;
}

/** Dependencies and options of a rollout. */
export interface RolloutOptions {
  readonly selfId: string;
  readonly snapshot: SnapshotView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly messenger: DirectMessenger;
  readonly logger: Logger;
  /** Store of the verdicts; without it, verdicts spread by gossip only. */
  readonly verdictStore?: VerdictStore;
  /** Random source; seeded from the id and the clock if left out. */
  readonly random?: RandomSource;
  /** Wall clock in Unix ms; tests give each node its own. */
  readonly nowUnixMs?: () => number;
  readonly components?: Partial<RolloutComponents>;
}

/** Rollout of one node. */
export interface Rollout {
  readonly view: RolloutView;
  readonly recorder: EvidenceRecorder;
  readonly shareTracker: ShareTracker;
  /** Systems in the order in which the tick loop must run them. */
  readonly systems: readonly System[];
}

/**
 * Creates the components of one node that compute shares, exchange evidence and publish verdicts of
 * moves. Throws nothing; without a snapshot the view has no services.
 *
 * @example
 * const rollout = createRollout({ selfId, snapshot, members, registers, messenger, logger });
 * const loop = new TickLoop([...rollout.systems], onError);
 * rollout.view.chooseVersion('settlement', random.next());
 */
export const createRollout = (options: RolloutOptions): Rollout => {
  const { selfId, snapshot, members, messenger, logger, components } = options;
  const nowUnixMs = options.nowUnixMs ?? wallNowUnixMs;
  const random = options.random ?? new SeededRandom(hash32(String(nowUnixMs()), selfId));
  const registers = new MoveRegisters(options.registers);
  const sharePolicy = components?.sharePolicy ?? new PlannedSharePolicy();
  const evidenceMerge = components?.evidenceMerge ?? new MaximumMerge();
  const moveTable = new MoveTable(snapshot, registers, sharePolicy, evidenceMerge, nowUnixMs);
  const ownServerHealth = new OwnServerHealth();
  const recorder = new MoveEvidenceRecorder(selfId, members, moveTable, ownServerHealth, nowUnixMs);
  const exchange = new EvidenceExchange(selfId, members, messenger, moveTable, random);
  const outageChecker =
    components?.outageChecker ?? new PeerOutageChecker(members, messenger, random, ownServerHealth);
  const judgeDependencies = {
    gate: components?.stageGate ?? new EvidenceStageGate(),
    createTest:
      components?.createTest ??
      ((service, routes, judges) => new SequentialVersionTest(service, routes, judges)),
  };
  const judge = new JudgeSystem(
    ...([
      selfId,
      snapshot,
      members,
      moveTable,
      registers,
      exchange,
      outageChecker,
      judgeDependencies,
      logger,
    ] as const),
  );
  const observer = new ShareObserver(selfId, members, messenger, moveTable, exchange);
  const systems: System[] = [new MoveRefreshSystem(moveTable), exchange, observer, judge];
  if (options.verdictStore) {
    const { verdictStore } = options;
    systems.push(new VerdictWriter(selfId, members, moveTable, registers, verdictStore, random));
  }
  return {
    view: new MoveTableView(moveTable, nowUnixMs),
    recorder,
    shareTracker: observer,
    systems,
  };
};
