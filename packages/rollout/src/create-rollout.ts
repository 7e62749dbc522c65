import type { Logger } from '@sequoiafield/logger';
import { SeededRandom, wallNowUnixMs, type RandomSource, type System } from '@sequoiafield/tables';
import type {
  DirectMessenger,
  EvidenceRecorder,
  MemberView,
  RegisterGossip,
  RolloutView,
  ShareObservation,
  SnapshotView,
} from '@sequoiafield/types';
import { EvidenceExchange } from './evidence-exchange.js';
import { MaximumMerge, type EvidenceMerge } from './evidence-merge.js';
import { JudgeSystem } from './judge-system.js';
import { MoveBook } from './move-book.js';
import { OutageCheck, type OutageChecker } from './outage-check.js';
import { OwnHealth } from './own-health.js';
import { MoveEvidenceRecorder } from './recorder.js';
import { MoveRegisters } from './registers.js';
import { hash32 } from './rendezvous.js';
import { BookView } from './rollout-view.js';
import { SequentialVersionTest } from './sequential-version-test.js';
import { ShareObserver } from './share-observer.js';
import { ShareSystem } from './share-system.js';
import { PlannedSharePolicy, type SharePolicy } from './shares.js';
import { EvidenceStageGate, type StageGate } from './stage-gate.js';
import { VerdictWriter, type VerdictStore } from './verdict-writer.js';
import type { VersionTestFactory } from './version-test.js';

/** Mechanisms that tests and the baseline replace. */
export interface RolloutParts {
  readonly sharePolicy: SharePolicy;
  readonly evidenceMerge: EvidenceMerge;
  readonly createTest: VersionTestFactory;
  readonly stageGate: StageGate;
  readonly outageCheck: OutageChecker;
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
  readonly parts?: Partial<RolloutParts>;
}

/** The rollout of one node. */
export interface Rollout {
  readonly view: RolloutView;
  readonly recorder: EvidenceRecorder;
  readonly observation: ShareObservation;
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
  const { selfId, snapshot, members, messenger, logger, parts } = options;
  const nowUnixMs = options.nowUnixMs ?? wallNowUnixMs;
  const random = options.random ?? new SeededRandom(hash32(String(nowUnixMs()), selfId));
  const registers = new MoveRegisters(options.registers);
  const sharePolicy = parts?.sharePolicy ?? new PlannedSharePolicy();
  const merging = parts?.evidenceMerge ?? new MaximumMerge();
  const book = new MoveBook(snapshot, registers, sharePolicy, merging, nowUnixMs);
  const health = new OwnHealth();
  const recorder = new MoveEvidenceRecorder(selfId, members, book, health, nowUnixMs);
  const exchange = new EvidenceExchange(selfId, members, messenger, book, random);
  const check = parts?.outageCheck ?? new OutageCheck(members, messenger, random, health);
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
  const systems: System[] = [new ShareSystem(book), exchange, observer, judge];
  if (options.verdictStore) {
    const { verdictStore } = options;
    systems.push(new VerdictWriter(selfId, members, book, registers, verdictStore, random));
  }
  return { view: new BookView(book, nowUnixMs), recorder, observation: observer, systems };
};
