import type { CallEvidence, EvidenceRecorder, MemberView } from '@sequoiafield/types';
import { monotonicNowMs } from '@sequoiafield/tables';
import { EvidenceSource, VersionSide, latencyBucket, type EvidenceRow } from './evidence-row.js';
import type { MoveTable } from './move-table.js';
import type { MoveState } from './move-state.js';
import type { OwnServerHealth } from './own-server-health.js';
import { plannedPercent, stageCapPercent } from './shares.js';

/**
 * Time after the first call of a version during which its latencies are not counted, since a newly
 * started backend server is slow regardless of its version.
 */
export const latencyWarmUpMs = 10_000;

/** Adds the outcomes of calls to this node's own evidence rows. */
export class MoveEvidenceRecorder implements EvidenceRecorder {
  readonly #firstCallAtMs = new Map<string, number>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly moveTable: MoveTable,
    private readonly ownServerHealth: OwnServerHealth,
    private readonly nowUnixMs: () => number,
  ) {}

  recordEnded(evidence: CallEvidence): void {
    const nowMs = monotonicNowMs();
    this.ownServerHealth.record(evidence.hasFailed, nowMs);
    const move = this.moveTable.runningMove(evidence.service);
    if (!move) return;
    const { route, backendVersion } = evidence;
    const row = this.#row(move, route, backendVersion, EvidenceSource.Ended);
    if (!row) return;
    row.calls += 1;
    row.changedAtMs = nowMs;
    if (evidence.hasFailed) {
      row.failures += 1;
    } else if (this.#isWarm(evidence, nowMs)) {
      const bucket = latencyBucket(evidence.latencyMs);
      row.buckets[bucket] = (row.buckets[bucket] ?? 0) + 1;
      if (evidence.latencyMs > move.service.latencyLimitMs) row.overLimit += 1;
    }
  }

  recordUnanswered(service: string, route: string, backendVersion: string, memberId: string): void {
    const move = this.moveTable.runningMove(service);
    const source = EvidenceSource.Unanswered;
    const row = move && this.#row(move, route, backendVersion, source, memberId);
    if (!row) return;
    row.calls += 1;
    row.failures += 1;
    row.changedAtMs = monotonicNowMs();
  }

  #isWarm(evidence: CallEvidence, nowMs: number): boolean {
    const key = `${evidence.service}\n${evidence.backendVersion}`;
    const firstAtMs = this.#firstCallAtMs.get(key);
    if (firstAtMs === undefined) this.#firstCallAtMs.set(key, nowMs);
    return firstAtMs !== undefined && nowMs - firstAtMs >= latencyWarmUpMs;
  }

  #row(
    move: MoveState,
    route: string,
    backendVersion: string,
    source: EvidenceSource,
    targetId = '',
  ): EvidenceRow | undefined {
    const { intent } = move;
    const isNew = backendVersion === intent.toVersion;
    if (!isNew && backendVersion !== intent.fromVersion) return undefined;
    const self = this.members.get(this.selfId);
    return move.evidence.row({
      reporterId: this.selfId,
      incarnation: self?.incarnation ?? 0,
      dataCentre: self?.dataCentre ?? '',
      route,
      side: isNew ? VersionSide.New : VersionSide.Old,
      source,
      targetId,
      stage: isNew ? this.#stageOf(move) : 0,
    });
  }

  /** Stage that a call counts for; a stage counts only once the plan has reached its share. */
  #stageOf(move: MoveState): number {
    const { intent, provenStage } = move;
    const isReached =
      plannedPercent(intent, this.nowUnixMs()) >= stageCapPercent(intent, provenStage);
    return isReached ? provenStage : Math.max(0, provenStage - 1);
  }
}
