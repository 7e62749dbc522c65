import { logEvents, type Logger } from '@sequoiafield/logger';
import type { System, Tick } from '@sequoiafield/tables';
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
import type { JudgeSelector } from './judge-selector.js';
import { MoveRecorder, type MoveRecorderDependencies } from './move-recorder.js';
import {
  completedStep,
  lastStageIndex,
  moveStages,
  registerRankOf,
  rolledBackStep,
} from './move-stages.js';
import { countsSince, Judgement, judgeVersion, type CountsByRoute } from './version-judge.js';
import type { VersionPolicy } from './version-policy.js';

/** Span over which a version is judged besides its whole time and its stage, since it may turn bad late. */
const recentMs = 1500;
/** Time at the last stage before the old servers may stop: gossip, and calls on their way. */
const emptyingMinMs = 1200;
/** Longest wait for calls on old servers; their timeouts are shorter. */
const emptyingMaxMs = 4000;
/** Wait of each judge for the one before it, so that one of them writes. */
const turnMs = 600;

interface Sample {
  readonly atMs: number;
  readonly old: CountsByRoute;
  readonly candidate: CountsByRoute;
}

interface JudgedMove {
  readonly order: MoveOrder;
  readonly startedAtMs: number;
  readonly book: ServerEvidenceTable;
  readonly recorder: MoveRecorder;
  samples: Sample[];
  /** Counts at the start of the stage, since a version may be bad from a share on. */
  stageSample: Sample | undefined;
  stageSinceMs: number;
  stage: number;
  outcomeSinceMs: number | undefined;
}

/** What a judge works with. */
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
 * first bad evidence, and writes the outcome. Each node keeps the book; only the chosen judges decide.
 */
export class MoveJudge implements System {
  readonly name = 'move-judge';

  readonly #moves = new Map<string, JudgedMove>();

  constructor(private readonly parts: MoveJudgeDependencies) {}

  addEvidence(nodeId: string, evidence: ServerEvidence): void {
    this.#moves.get(evidence.service)?.book.add(nodeId, evidence);
  }

  run(tick: Tick): void {
    for (const order of this.parts.orders.current().moves.values()) {
      const move = this.#moveOf(order, tick.nowMs);
      const turn = this.parts.judges.judgesOf(order.service).indexOf(this.parts.selfId);
      if (turn >= 0) this.#judge(move, turn, tick.nowMs);
    }
  }

  #moveOf(order: MoveOrder, nowMs: number): JudgedMove {
    const known = this.#moves.get(order.service);
    if (known?.order.revision === order.revision) return known;
    const record = this.parts.orders.current().moveRecords.get(order.service);
    const move: JudgedMove = {
      order,
      startedAtMs: nowMs,
      book: new ServerEvidenceTable(order.revision),
      recorder: new MoveRecorder(order, this.parts, record),
      samples: [],
      stageSample: undefined,
      stageSinceMs: nowMs,
      stage: 0,
      outcomeSinceMs: undefined,
    };
    this.#moves.set(order.service, move);
    this.parts.logger.log(logEvents.moveStarted, { ...order });
    return move;
  }

  #judge(move: JudgedMove, turn: number, nowMs: number): void {
    const { order, recorder } = move;
    const { storedOutcome: held } = recorder;
    if (held === MoveOutcome.Completed) this.#publish(order, completedStep);
    if (held === MoveOutcome.RolledBack) this.#publish(order, rolledBackStep);
    const progress = this.parts.policy.progressOf(order);
    if (progress.outcome !== MoveOutcome.Running) {
      this.#recordInTurn(move, progress.outcome, turn, nowMs);
      return;
    }
    this.#recordInTurn(move, MoveOutcome.Running, turn, nowMs);
    if (progress.stage !== move.stage) {
      const changed = move;
      changed.stage = progress.stage;
      changed.stageSinceMs = nowMs;
      changed.stageSample = move.samples.at(-1);
    }
    move.book.retain((id) => this.parts.members.get(id) !== undefined);
    const judgement = this.#judgementOf(move, nowMs);
    if (judgement === Judgement.Bad) this.#rollBack(move);
    else if (judgement === Judgement.Good) this.#advance(move, turn, nowMs);
  }

  #judgementOf(move: JudgedMove, nowMs: number): Judgement {
    const isNew = (version: string): boolean => version === move.order.toVersion;
    const candidate = move.book.countsOf(isNew);
    const old = move.book.countsOf((version) => !isNew(version));
    const changed = move;
    changed.samples = move.samples.filter(({ atMs }) => atMs > nowMs - 2 * recentMs);
    changed.samples.push({ atMs: nowMs, old, candidate });
    const whole = judgeVersion(old, candidate);
    const recent = move.samples.filter(({ atMs }) => atMs <= nowMs - recentMs).at(-1);
    const isBadSince = (sample: Sample | undefined): boolean =>
      sample !== undefined &&
      judgeVersion(countsSince(old, sample.old), countsSince(candidate, sample.candidate)) ===
        Judgement.Bad;
    return isBadSince(recent) || isBadSince(move.stageSample) ? Judgement.Bad : whole;
  }

  #rollBack(move: JudgedMove): void {
    const { service, toVersion } = move.order;
    this.parts.logger.log(logEvents.moveTakenBack, { service, toVersion, stage: move.stage });
    this.#publish(move.order, rolledBackStep);
    move.recorder.record(MoveOutcome.RolledBack);
  }

  #advance(move: JudgedMove, turn: number, nowMs: number): void {
    const { order, stage, stageSinceMs } = move;
    if (stage === lastStageIndex) {
      if (this.#isEmptied(move, nowMs)) {
        this.#recordInTurn(move, MoveOutcome.Completed, turn, nowMs);
      }
      return;
    }
    const next = moveStages[stage + 1];
    if (!next) return;
    const dueAtMs = move.startedAtMs + next.fromFraction * order.durationMs;
    const stageMs = (next.fromFraction - (moveStages[stage]?.fromFraction ?? 0)) * order.durationMs;
    // A stage that began late still lasts long enough to show what the version does.
    const earliestMs = stage === 0 ? dueAtMs : Math.max(dueAtMs, stageSinceMs + stageMs);
    if (nowMs < earliestMs) return;
    const { service, toVersion } = order;
    const fields = { service, toVersion, stage: stage + 1, share: next.share };
    this.parts.logger.log(logEvents.moveStage, fields);
    this.#publish(order, stage + 1);
  }

  /** Whether the old servers can stop: nobody sends to them, and nothing runs there. */
  #isEmptied(move: JudgedMove, nowMs: number): boolean {
    const sinceMs = nowMs - move.stageSinceMs;
    if (sinceMs < emptyingMinMs) return false;
    const running = move.book.runningCalls((version) => version !== move.order.toVersion);
    return running === 0 || sinceMs >= emptyingMaxMs;
  }

  /** Writes an outcome; later judges wait for the earlier ones. */
  #recordInTurn(move: JudgedMove, outcome: MoveOutcome, turn: number, nowMs: number): void {
    const changed = move;
    if (move.recorder.storedOutcome === outcome) {
      changed.outcomeSinceMs = undefined;
      return;
    }
    changed.outcomeSinceMs ??= nowMs;
    if (nowMs - changed.outcomeSinceMs >= turn * turnMs) move.recorder.record(outcome);
  }

  #publish(order: MoveOrder, step: number): void {
    this.parts.registers.publish({
      kind: RegisterKind.Stage,
      key: order.service,
      rank: registerRankOf(order.revision, step),
      body: null,
    });
  }
}
