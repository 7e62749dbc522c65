import { logEvents, type Logger } from '@sequoiafield/logger';
import type { System, Tick } from '@sequoiafield/tables';
import {
  DataCentreState,
  MemberState,
  MoveVerdict,
  type MemberView,
  type SnapshotView,
} from '@sequoiafield/types';
import { BlockReader, type BlockFilter } from './evidence-blocks.js';
import { judgeCount, type EvidenceExchange } from './evidence-exchange.js';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { OutageResult, type OutageChecker } from './outage-checker.js';
import type { MoveRegisters } from './move-registers.js';
import { chooseMembers, isLive } from './rendezvous.js';
import type { StageGate } from './stage-gate.js';
import { stageCount, stagePercents } from './shares.js';
import type { VersionTest, VersionTestFactory } from './version-test.js';

/** Time between two evaluations of the evidence. */
const judgeIntervalMs = 1000;
/** Exchanges without evidence from a node after which its evidence counts as missing. */
const missingAfterExchanges = 3.5;
/**
 * Time after a member is declared dead during which unanswered attempts do not count against a
 * version.
 */
const deadMemberGraceMs = 10_000;

/** State of a move that this node judges. */
interface JudgedMove {
  readonly reader: BlockReader;
  readonly test: VersionTest;
  stage: number;
  stageSinceMs: number;
}

/** Components that decide on moves; replaced in tests and by the benchmark's baseline. */
export interface JudgeDependencies {
  readonly createTest: VersionTestFactory;
  readonly gate: StageGate;
}

/**
 * Judges the running moves of this node's own service if this node is one of the `judgeCount` judges
 * chosen by rendezvous rank. Publishes a rollback when the test finds a reason for one, a higher
 * proven stage when the gate allows it, and the verdict done once all stages are proven.
 *
 * @example
 * const components = [moveTable, registers, exchange, outageChecker, dependencies, logger] as const;
 * const judge = new JudgeSystem(selfId, snapshot, members, ...components);
 */
export class JudgeSystem implements System {
  readonly name = 'judge of moves';

  #nextAtMs = 0;

  readonly #judged = new Map<string, JudgedMove>();

  constructor(
    private readonly selfId: string,
    private readonly snapshot: SnapshotView,
    private readonly members: MemberView,
    private readonly moveTable: MoveTable,
    private readonly registers: MoveRegisters,
    private readonly exchange: EvidenceExchange,
    private readonly outageChecker: OutageChecker,
    private readonly dependencies: JudgeDependencies,
    private readonly logger: Logger,
  ) {}

  run(tick: Tick): void {
    if (tick.wasPaused) this.exchange.clearEvidenceTimes();
    if (tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + judgeIntervalMs;
    const ownService = this.members.get(this.selfId)?.service;
    const judgedKeys = new Set<string>();
    for (const move of this.moveTable.moves.rows()) {
      const isRunning = move.phase === MovePhase.Active || move.phase === MovePhase.Watching;
      if (isRunning && move.service.name === ownService && this.#isJudge(move)) {
        judgedKeys.add(`${move.intent.id}\n${move.intent.toVersion}`);
        this.#judge(move, tick);
      }
    }
    [...this.#judged.keys()]
      .filter((key) => !judgedKeys.has(key))
      .forEach((key) => this.#judged.delete(key));
  }

  #isJudge(move: MoveState): boolean {
    const { intent, service } = move;
    return chooseMembers(this.members, service.name, intent.id, judgeCount).some(
      ({ id }) => id === this.selfId,
    );
  }

  #state(move: MoveState, nowMs: number): JudgedMove {
    const key = `${move.intent.id}\n${move.intent.toVersion}`;
    const known = this.#judged.get(key);
    if (known) return known;
    const created = {
      reader: new BlockReader(),
      test: this.dependencies.createTest(move.service, move.routes.length, judgeCount),
      stage: move.provenStage,
      stageSinceMs: nowMs,
    };
    this.#judged.set(key, created);
    return created;
  }

  #judge(move: MoveState, tick: Tick): void {
    const judged = this.#state(move, tick.nowMs);
    const filter = this.#filter(move, tick.nowMs);
    judged.test.observe(judged.reader.read(move.evidence, filter));
    if (this.#rollBackIfFound(move, judged, tick)) return;
    if (judged.stage !== move.provenStage) {
      judged.stage = move.provenStage;
      judged.stageSinceMs = tick.nowMs;
      judged.test.beginStage();
    }
    const isActive = move.phase === MovePhase.Active;
    if (!isActive || !this.snapshot.isServing() || !this.#hasMostEvidence(move, tick.nowMs)) return;
    const { stageSinceMs, test } = judged;
    const { nowMs, nowUnixMs } = tick;
    if (this.dependencies.gate.isProven({ move, test, filter, nowMs, nowUnixMs, stageSinceMs })) {
      this.#advance(move, test, nowUnixMs);
    }
  }

  #rollBackIfFound(move: MoveState, judged: JudgedMove, tick: Tick): boolean {
    const finding = judged.test.finding();
    if (!finding) return false;
    if (finding.needsOutageCheck) {
      const result = this.outageChecker.check(move.intent.id, move.service.name, tick.nowMs);
      if (result === OutageResult.General) judged.test.discardUncomparedEvidence();
      if (result !== OutageResult.Local) return true;
    }
    this.#publish(move, MoveVerdict.RolledBack, finding.reason, tick.nowUnixMs);
    this.logger.log(logEvents.moveTakenBack, {
      moveId: move.intent.id,
      service: move.service.name,
      sharePercent: move.sharePercent,
      reason: finding.reason,
    });
    return true;
  }

  #advance(move: MoveState, test: VersionTest, nowUnixMs: number): void {
    const stage = move.provenStage + 1;
    const { id: moveId } = move.intent;
    const provenPercent = stagePercents[stage - 1];
    this.registers.publishStage(move.intent, stage);
    this.logger.log(logEvents.moveStageProven, { moveId, stage, provenPercent });
    if (stage < stageCount) return;
    const faulty = [...test.faultyServers()].sort().join(', ');
    const reason = `all stages are proven${faulty && `; faulty backend server: ${faulty}`}`;
    this.#publish(move, MoveVerdict.Done, reason, nowUnixMs);
    this.logger.log(logEvents.moveDone, { moveId, service: move.service.name });
  }

  #publish(move: MoveState, verdict: MoveVerdict, reason: string, atUnixMs: number): void {
    const body = { moveId: move.intent.id, service: move.service.name, verdict, reason, atUnixMs };
    this.registers.publishVerdict(body);
  }

  #filter(move: MoveState, nowMs: number): BlockFilter {
    const dataCentres = this.snapshot.current()?.mesh.dataCentres ?? [];
    const evacuated = new Set(
      dataCentres
        .filter(({ state }) => state === DataCentreState.Evacuated)
        .map(({ name }) => name),
    );
    const isUnansweredCounted = this.#areMembersReachable(move, nowMs);
    return {
      isDataCentreCounted: (name) => !evacuated.has(name),
      isUnansweredCounted: () => isUnansweredCounted,
    };
  }

  /**
   * True if all members are reachable; otherwise an unanswered attempt is no evidence on a version.
   */
  #areMembersReachable(move: MoveState, nowMs: number): boolean {
    return this.members.ofService(move.service.name).every((member) => {
      if (isLive(member)) {
        return (
          member.state !== MemberState.Suspect && this.#hasRecentEvidence(move, member.id, nowMs)
        );
      }
      return (
        member.state !== MemberState.Dead || nowMs - member.stateChangedAtMs > deadMemberGraceMs
      );
    });
  }

  /** False while evidence of half of the service's nodes is missing; no stage is proven then. */
  #hasMostEvidence(move: MoveState, nowMs: number): boolean {
    const live = this.members.ofService(move.service.name).filter(isLive);
    const reporting = live.filter(({ id }) => this.#hasRecentEvidence(move, id, nowMs));
    return reporting.length * 2 > live.length;
  }

  #hasRecentEvidence(move: MoveState, memberId: string, nowMs: number): boolean {
    if (memberId === this.selfId) return true;
    const lastEvidenceAtMs = this.exchange.lastEvidenceAtMs(move, memberId);
    const missingAfterMs = missingAfterExchanges * this.exchange.intervalMs;
    return lastEvidenceAtMs !== undefined && nowMs - lastEvidenceAtMs <= missingAfterMs;
  }
}
