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

/** Time between two looks at the evidence. */
const judgeIntervalMs = 1000;
/** A node that was not heard for this many exchanges counts as silent. */
const heardMaxExchanges = 3.5;
/** After a suspected or dead member, attempts unanswered for this long are not held against anyone. */
const memberTroubleMs = 10_000;

/** What this node keeps of a move that it judges. */
interface JudgedMove {
  readonly reader: BlockReader;
  readonly test: VersionTest;
  stage: number;
  stageSinceMs: number;
}

/** Parts that decide; tests and the baseline replace them. */
export interface JudgeDependencies {
  readonly createTest: VersionTestFactory;
  readonly gate: StageGate;
}

/**
 * Judges the running moves of this node's own service, if this node is one of the `judgeCount` that
 * rendezvous ranks choose: publishes a verdict when the test finds one and a higher proven stage when
 * the gate allows it.
 *
 * @example
 * const judge = new JudgeSystem(selfId, snapshot, members, book, registers, exchange, check, parts, logger);
 */
export class JudgeSystem implements System {
  readonly name = 'judge of moves';

  #nextAtMs = 0;

  readonly #judged = new Map<string, JudgedMove>();

  constructor(
    private readonly selfId: string,
    private readonly snapshot: SnapshotView,
    private readonly members: MemberView,
    private readonly book: MoveTable,
    private readonly registers: MoveRegisters,
    private readonly exchange: EvidenceExchange,
    private readonly outageCheck: OutageChecker,
    private readonly parts: JudgeDependencies,
    private readonly logger: Logger,
  ) {}

  run(tick: Tick): void {
    if (tick.wasPaused) this.exchange.clearEvidenceTimes();
    if (tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + judgeIntervalMs;
    const ownService = this.members.get(this.selfId)?.service;
    const judgedNow = new Set<string>();
    for (const move of this.book.moves.rows()) {
      const isRunning = move.phase === MovePhase.Active || move.phase === MovePhase.Watching;
      if (isRunning && move.service.name === ownService && this.#isJudge(move)) {
        judgedNow.add(`${move.intent.id}\n${move.intent.toVersion}`);
        this.#judge(move, tick);
      }
    }
    [...this.#judged.keys()]
      .filter((key) => !judgedNow.has(key))
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
      test: this.parts.createTest(move.service, move.routes.length, judgeCount),
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
    if (this.#takeBackIfFound(move, judged, tick)) return;
    if (judged.stage !== move.provenStage) {
      judged.stage = move.provenStage;
      judged.stageSinceMs = tick.nowMs;
      judged.test.beginStage();
    }
    const isActive = move.phase === MovePhase.Active;
    if (!isActive || !this.snapshot.isServing() || !this.#hearsMost(move, tick.nowMs)) return;
    const { stageSinceMs, test } = judged;
    const { nowMs, nowUnixMs } = tick;
    if (this.parts.gate.isProven({ move, test, filter, nowMs, nowUnixMs, stageSinceMs })) {
      this.#advance(move, test, nowUnixMs);
    }
  }

  #takeBackIfFound(move: MoveState, judged: JudgedMove, tick: Tick): boolean {
    const finding = judged.test.finding();
    if (!finding) return false;
    if (finding.needsOutageCheck) {
      const result = this.outageCheck.check(move.intent.id, move.service.name, tick.nowMs);
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
    const centres = this.snapshot.current()?.mesh.dataCentres ?? [];
    const out = new Set(
      centres.filter(({ state }) => state === DataCentreState.Evacuated).map(({ name }) => name),
    );
    const isUnansweredCounted = this.#areMembersWell(move, nowMs);
    return {
      isDataCentreCounted: (name) => !out.has(name),
      isUnansweredCounted: () => isUnansweredCounted,
    };
  }

  /** An attempt on a member that cannot be reached says nothing about its version. */
  #areMembersWell(move: MoveState, nowMs: number): boolean {
    return this.members.ofService(move.service.name).every((member) => {
      if (isLive(member)) {
        return member.state !== MemberState.Suspect && this.#isHeard(move, member.id, nowMs);
      }
      return member.state !== MemberState.Dead || nowMs - member.stateChangedAtMs > memberTroubleMs;
    });
  }

  /** False while evidence of half of the service's nodes is missing; stages are held then. */
  #hearsMost(move: MoveState, nowMs: number): boolean {
    const live = this.members.ofService(move.service.name).filter(isLive);
    const heard = live.filter(({ id }) => this.#isHeard(move, id, nowMs));
    return heard.length * 2 > live.length;
  }

  #isHeard(move: MoveState, memberId: string, nowMs: number): boolean {
    if (memberId === this.selfId) return true;
    const heardAtMs = this.exchange.lastEvidenceAtMs(move, memberId);
    const heardMaxMs = heardMaxExchanges * this.exchange.intervalMs;
    return heardAtMs !== undefined && nowMs - heardAtMs <= heardMaxMs;
  }
}
