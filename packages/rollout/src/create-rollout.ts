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

/** Mechanisms that tests and the baseline replace. */
export interface RolloutComponents {
  readonly sharePolicy: SharePolicy;
  readonly evidenceMerge: EvidenceMerge;
  readonly createTest: VersionTestFactory;
  readonly stageGate: StageGate;
  readonly outageChecker: OutageChecker;
}

/** What a rollout needs. */
export interface RolloutOptions {
  readonly selfId: string;
  readonly snapshot: SnapshotView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly messenger: DirectMessenger;
  readonly logger: Logger;
  /** Where verdicts are kept; without it verdicts spread by gossip only. */
  readonly verdictStore?: VerdictStore;
  /** Seeded from the id and the clock if left out. */
  readonly random?: RandomSource;
  /** Wall clock in Unix ms; tests give nodes different ones. */
  readonly nowUnixMs?: () => number;
  readonly components?: Partial<RolloutComponents>;
}

/** The rollout of one node. */
export interface Rollout {
  readonly view: RolloutView;
  readonly recorder: EvidenceRecorder;
  readonly observation: ShareTracker;
  /** In the order in which the tick loop must run them. */
  readonly systems: readonly System[];
}

/**
 * Creates shares, evidence and verdicts of moves for one node. Nothing is thrown: without a snapshot
 * the view knows no service.
 *
 * @example
 * const rollout = createRollout({ selfId, snapshot, members, registers, messenger, logger });
 * const loop = new TickLoop([...rollout.systems], onError);
 * rollout.view.chooseVersion('settlement', random.next());
 */
export const createRollout = (options: RolloutOptions): Rollout => {
  const { selfId, snapshot, members, messenger, logger, components: parts } = options;
  const nowUnixMs = options.nowUnixMs ?? wallNowUnixMs;
  const random = options.random ?? new SeededRandom(hash32(String(nowUnixMs()), selfId));
  const registers = new MoveRegisters(options.registers);
  const sharePolicy = parts?.sharePolicy ?? new PlannedSharePolicy();
  const merging = parts?.evidenceMerge ?? new MaximumMerge();
  const book = new MoveTable(snapshot, registers, sharePolicy, merging, nowUnixMs);
  const health = new OwnServerHealth();
  const recorder = new MoveEvidenceRecorder(selfId, members, book, health, nowUnixMs);
  const exchange = new EvidenceExchange(selfId, members, messenger, book, random);
  const check = parts?.outageChecker ?? new PeerOutageChecker(members, messenger, random, health);
  const judgeParts = {
    gate: parts?.stageGate ?? new EvidenceStageGate(),
    createTest:
      parts?.createTest ??
      ((service, routes, judges) => new SequentialVersionTest(service, routes, judges)),
  };
  const judge = new JudgeSystem(
    ...([selfId, snapshot, members, book, registers, exchange, check, judgeParts, logger] as const),
  );
  const observer = new ShareObserver(selfId, members, messenger, book, exchange);
  const systems: System[] = [new MoveRefreshSystem(book), exchange, observer, judge];
  if (options.verdictStore) {
    const { verdictStore } = options;
    systems.push(new VerdictWriter(selfId, members, book, registers, verdictStore, random));
  }
  return { view: new MoveTableView(book, nowUnixMs), recorder, observation: observer, systems };
};
