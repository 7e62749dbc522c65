import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import {
  MoveOutcome,
  RegisterKind,
  type MemberView,
  type MoveOrder,
  type OrdersView,
  type RegisterGossip,
} from '@sequoiafield/types';
import type { ServerEvidence } from './server-evidence.js';
import { ServerEvidenceTable } from './server-evidence-table.js';
import type { StageRegisterBody } from './established-versions.js';
import type { JudgeSelector } from './judge-selector.js';
import { MoveRecorder, type MoveRecorderDependencies } from './move-recorder.js';
import {
  completedStep,
  lastStageIndex,
  moveStages,
  noOrderRank,
  registerRankOf,
  rolledBackStep,
} from './move-stages.js';
import { countsSince, Judgement, judgeVersion, type CountsByRoute } from './version-judge.js';
import type { VersionPolicy } from './version-policy.js';

/**
 * Length of the recent window that is judged besides the whole move and its stage, since a version may
 * turn bad late.
 */
const recentWindowMs = 1500;
/** Shortest time at the last stage before old servers may stop, for gossip and calls in transit. */
const drainMinMs = 1200;
/** Longest time at the last stage to wait for calls on old servers; their timeouts are shorter. */
const drainMaxMs = 4000;
/** Interval at which services without a move are checked for a version to announce. */
const establishedCheckIntervalMs = 5000;
/** Delay of each judge's write after the judge before it, so that normally only one writes. */
const writeDelayMs = 600;

interface Sample {
  readonly atMs: number;
  readonly old: CountsByRoute;
  readonly candidate: CountsByRoute;
}

interface JudgedMove {
  readonly order: MoveOrder;
  readonly startedAtMs: number;
  readonly evidenceTable: ServerEvidenceTable;
  readonly recorder: MoveRecorder;
  samples: Sample[];
  /** Counts at the start of the stage; a version may be bad from a certain share on. */
  stageSample: Sample | undefined;
  stageSinceMs: number;
  stage: number;
  outcomeSinceMs: number | undefined;
}

/** Dependencies of a judge. */
export interface MoveJudgeDependencies extends MoveRecorderDependencies {
  readonly selfId: string;
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly policy: VersionPolicy;
  readonly judges: JudgeSelector;
  readonly logger: Logger;
}

/**
 * Raises the share of a new version stage by stage while its evidence is good, rolls it back at the
 * first bad evidence, and writes the outcome. Each node keeps a table of the received evidence, but
 * only the chosen judges decide.
 */
export class MoveJudge implements System {
  readonly name = 'move-judge';

  readonly #moves = new Map<string, JudgedMove>();

  #nextEstablishedCheckAtMs = monotonicNowMs() + establishedCheckIntervalMs;

  constructor(private readonly dependencies: MoveJudgeDependencies) {}

  addEvidence(nodeId: string, evidence: ServerEvidence): void {
    this.#moves.get(evidence.service)?.evidenceTable.add(nodeId, evidence);
  }

  run(tick: Tick): void {
    this.#announceEstablished(tick.nowMs);
    const { moves, eraStart = 0 } = this.dependencies.orders.current();
    for (const order of moves.values()) {
      const move = this.#moveOf(order, tick.nowMs);
      const judgeRank = this.#judgeRankOf(order.service);
      move.recorder.noteEra(eraStart);
      if (judgeRank >= 0) this.#judge(move, judgeRank, tick.nowMs);
    }
    for (const [service, move] of this.#moves) {
      if (!moves.has(service)) this.#rewriteOutcome(move, eraStart, tick.nowMs);
    }
  }

  #judgeRankOf(service: string): number {
    const { judges, selfId } = this.dependencies;
    return judges.judgesOf(service).indexOf(selfId);
  }

  /** Writes the outcome of a move whose order has ended again if the store may have lost it. */
  #rewriteOutcome(move: JudgedMove, eraStart: number, nowMs: number): void {
    const { recorder, order } = move;
    recorder.noteEra(eraStart);
    if (!recorder.isRewriteDue || !recorder.isFinal) return;
    const judgeRank = this.#judgeRankOf(order.service);
    if (judgeRank >= 0) this.#recordByRank(move, recorder.storedOutcome!, judgeRank, nowMs);
  }

  /**
   * Announces the version of each service that serves alone and that no move has announced, so that a
   * node that starts while two versions are there knows which of them is established.
   */
  #announceEstablished(nowMs: number): void {
    const { orders, registers, judges, policy, selfId } = this.dependencies;
    if (nowMs < this.#nextEstablishedCheckAtMs) return;
    this.#nextEstablishedCheckAtMs = nowMs + establishedCheckIntervalMs;
    const { configuration, moves } = orders.current();
    if (!configuration) return;
    for (const service of configuration.services.keys()) {
      if (moves.has(service) || registers.read(RegisterKind.Stage, service)) continue;
      if (!judges.judgesOf(service).includes(selfId)) continue;
      const [version, ...others] = policy.versionsWithServers(service);
      if (version === undefined || others.length > 0) continue;
      const body: StageRegisterBody = { establishedVersion: version };
      registers.publish({ kind: RegisterKind.Stage, key: service, rank: noOrderRank, body });
    }
  }

  #moveOf(order: MoveOrder, nowMs: number): JudgedMove {
    const known = this.#moves.get(order.service);
    if (known?.order.revision === order.revision) return known;
    const { moveRecords, eraStart } = this.dependencies.orders.current();
    const record = moveRecords.get(order.service);
    const move: JudgedMove = {
      order,
      startedAtMs: nowMs,
      evidenceTable: new ServerEvidenceTable(order.revision),
      recorder: new MoveRecorder(order, this.dependencies, record, eraStart),
      samples: [],
      stageSample: undefined,
      stageSinceMs: nowMs,
      stage: 0,
      outcomeSinceMs: undefined,
    };
    this.#moves.set(order.service, move);
    this.dependencies.logger.log(logEvents.moveStarted, { ...order });
    return move;
  }

  #judge(move: JudgedMove, judgeRank: number, nowMs: number): void {
    const { order, recorder } = move;
    const { storedOutcome } = recorder;
    if (storedOutcome === MoveOutcome.Completed) this.#publish(order, completedStep);
    if (storedOutcome === MoveOutcome.RolledBack) this.#publish(order, rolledBackStep);
    const progress = this.dependencies.policy.progressOf(order);
    if (progress.outcome !== MoveOutcome.Running) {
      this.#recordByRank(move, progress.outcome, judgeRank, nowMs);
      return;
    }
    if (progress.stage === 0) this.#publish(order, 0);
    this.#recordByRank(move, MoveOutcome.Running, judgeRank, nowMs);
    if (progress.stage !== move.stage) {
      const changed = move;
      changed.stage = progress.stage;
      changed.stageSinceMs = nowMs;
      changed.stageSample = move.samples.at(-1);
    }
    move.evidenceTable.retain((id) => this.dependencies.members.get(id) !== undefined);
    const judgement = this.#judgementOf(move, nowMs);
    if (judgement === Judgement.Bad) this.#rollBack(move);
    else if (judgement === Judgement.Good) this.#advance(move, judgeRank, nowMs);
  }

  #judgementOf(move: JudgedMove, nowMs: number): Judgement {
    const isNew = (version: string): boolean => version === move.order.toVersion;
    const candidate = move.evidenceTable.countsOf(isNew);
    const established = this.dependencies.policy.establishedVersion(move.order.service);
    const old = move.evidenceTable.countsOf((version) =>
      established === undefined ? !isNew(version) : version === established,
    );
    const changed = move;
    changed.samples = move.samples.filter(({ atMs }) => atMs > nowMs - 2 * recentWindowMs);
    changed.samples.push({ atMs: nowMs, old, candidate });
    const wholeMoveJudgement = judgeVersion(old, candidate);
    const recent = move.samples.filter(({ atMs }) => atMs <= nowMs - recentWindowMs).at(-1);
    const isBadSince = (sample: Sample | undefined): boolean =>
      sample !== undefined &&
      judgeVersion(countsSince(old, sample.old), countsSince(candidate, sample.candidate)) ===
        Judgement.Bad;
    return isBadSince(recent) || isBadSince(move.stageSample) ? Judgement.Bad : wholeMoveJudgement;
  }

  #rollBack(move: JudgedMove): void {
    const { service, toVersion } = move.order;
    this.dependencies.logger.log(logEvents.moveTakenBack, {
      service,
      toVersion,
      stage: move.stage,
    });
    this.#publish(move.order, rolledBackStep);
    this.#record(move, MoveOutcome.RolledBack);
  }

  #advance(move: JudgedMove, judgeRank: number, nowMs: number): void {
    const { order, stage, stageSinceMs } = move;
    if (stage === lastStageIndex) {
      if (this.#areOldServersDrained(move, nowMs)) {
        this.#recordByRank(move, MoveOutcome.Completed, judgeRank, nowMs);
      }
      return;
    }
    const next = moveStages[stage + 1];
    if (!next) return;
    const dueAtMs = move.startedAtMs + next.fromFraction * order.durationMs;
    const stageMs = (next.fromFraction - (moveStages[stage]?.fromFraction ?? 0)) * order.durationMs;
    // A stage that began late still lasts its full time, so that it yields enough evidence.
    const earliestMs = stage === 0 ? dueAtMs : Math.max(dueAtMs, stageSinceMs + stageMs);
    if (nowMs < earliestMs) return;
    const { service, toVersion } = order;
    const fields = { service, toVersion, stage: stage + 1, share: next.share };
    this.dependencies.logger.log(logEvents.moveStage, fields);
    this.#publish(order, stage + 1);
  }

  /** True if old servers may stop: no calls are sent to them and none run, or the wait timed out. */
  #areOldServersDrained(move: JudgedMove, nowMs: number): boolean {
    const sinceMs = nowMs - move.stageSinceMs;
    if (sinceMs < drainMinMs) return false;
    const running = move.evidenceTable.runningCalls((version) => version !== move.order.toVersion);
    return running === 0 || sinceMs >= drainMaxMs;
  }

  /** Writes an outcome after a delay that grows with the rank of this judge. */
  #recordByRank(move: JudgedMove, outcome: MoveOutcome, judgeRank: number, nowMs: number): void {
    const changed = move;
    if (move.recorder.storedOutcome === outcome && !move.recorder.isRewriteDue) {
      changed.outcomeSinceMs = undefined;
      return;
    }
    changed.outcomeSinceMs ??= nowMs;
    if (nowMs - changed.outcomeSinceMs >= judgeRank * writeDelayMs) this.#record(move, outcome);
  }

  #record({ order, recorder }: JudgedMove, outcome: MoveOutcome): void {
    recorder.record(outcome, this.dependencies.policy.establishedVersion(order.service));
  }

  #publish(order: MoveOrder, step: number): void {
    const establishedVersion =
      step === completedStep
        ? order.toVersion
        : this.dependencies.policy.establishedVersion(order.service);
    const body: StageRegisterBody | null =
      establishedVersion === undefined ? null : { establishedVersion };
    this.dependencies.registers.publish({
      kind: RegisterKind.Stage,
      key: order.service,
      rank: registerRankOf(order.revision, step),
      body,
    });
  }
}
