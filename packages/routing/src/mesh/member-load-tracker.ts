import { monotonicNowMs, Table } from '@sequoiafield/tables';
import { RefusalReason, type AttemptReport, type LoadReport } from '@sequoiafield/types';

/** A report counts in full for this long and fades to nothing within as much again. */
const reportFreshMs = 300;
/**
 * Reported failures and slowness count half after this time, so that a member which recovered is tried
 * again although others have room.
 */
const badnessHalfLifeMs = 1000;
/** Service time that is assumed of a member that has not reported one. */
const unknownServiceMs = 30;

/**
 * Time for which a member that refused a call for want of room is not asked for that route again. Its
 * line is still long then; a shorter time costs a round trip for each call of an overloaded service.
 */
const fullPauseMs = 25;

/** First pause of a member that could not be reached, doubled up to the maximum. */
const unreachablePauseMs = 250;
const unreachablePauseMaxMs = 2000;
/** Pause of a member whose server takes no new work for reasons of its own. */
const notServingPauseMs = 300;
/** Pause of a member that is cold. */
const coldPauseMaxMs = 250;

const unreachableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ConnectFailed,
  RefusalReason.LinkLost,
  RefusalReason.WrongIncarnation,
]);

const notServingReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.DataCentreEvacuated,
  RefusalReason.Draining,
  RefusalReason.NotReady,
  RefusalReason.VersionRolledBack,
  RefusalReason.WrongServer,
  RefusalReason.WrongVersion,
]);

interface PressureRow {
  incarnation: number;
  load: LoadReport;
  reportedAtMs: number;
  /** Attempts of this node that are not ended. */
  ownCalls: number;
  ownCallsAtReport: number;
  pausedUntilMs: number;
  unreachableInRow: number;
  /** Refusals for want of room, by route: another route may have a longer target, and wait longer. */
  readonly fullRoutes: Map<string, FullRoute>;
}

interface FullRoute {
  readonly untilMs: number;
  /** When the member expects room. */
  readonly roomAtMs: number;
}

const newRow = (incarnation: number): PressureRow => ({
  incarnation,
  load: { runningCalls: 0, queuedCalls: 0, slotsNow: 0 },
  reportedAtMs: Number.NEGATIVE_INFINITY,
  ownCalls: 0,
  ownCallsAtReport: 0,
  pausedUntilMs: 0,
  unreachableInRow: 0,
  fullRoutes: new Map(),
});

/** What this node knows of a member's load. */
export interface MemberLoadEstimate {
  readonly meanServiceMs: number;
  /** Calls inside the member's server and before it, as estimated now. */
  readonly calls: number;
  readonly slots: number;
  readonly failureRatio: number;
}

/**
 * Load of members by their reports and by this node's own calls since; members that refused or could
 * not be reached are paused.
 */
export class MemberLoadTracker {
  readonly #rows = new Table<PressureRow>('pressures');

  begin(memberId: string): void {
    this.#row(memberId).ownCalls += 1;
  }

  report(report: AttemptReport): void {
    const row = this.#row(report.memberId);
    const nowMs = monotonicNowMs();
    row.ownCalls = Math.max(0, row.ownCalls - 1);
    if (report.load) {
      row.load = report.load;
      row.reportedAtMs = nowMs;
      row.ownCallsAtReport = row.ownCalls;
    }
    const { refusalReason: reason } = report;
    if (reason === undefined) {
      row.unreachableInRow = 0;
      return;
    }
    if (reason === RefusalReason.QueueFull) {
      const roomAtMs = nowMs + (report.retryAfterMs ?? fullPauseMs);
      row.fullRoutes.set(report.route ?? '', { untilMs: nowMs + fullPauseMs, roomAtMs });
    } else {
      row.pausedUntilMs = Math.max(row.pausedUntilMs, nowMs + this.#pauseMs(row, reason));
    }
  }

  /** Whether the member refused a call of the route a moment ago for want of room. */
  isFull(memberId: string, incarnation: number, route: string): boolean {
    const full = this.#rowOf(memberId, incarnation)?.fullRoutes.get(route);
    return full !== undefined && monotonicNowMs() < full.untilMs;
  }

  isPaused(memberId: string, incarnation: number): boolean {
    const row = this.#rowOf(memberId, incarnation);
    return row !== undefined && monotonicNowMs() < row.pausedUntilMs;
  }

  /** Time until a member that refused a call of the route expects room. */
  retryAfterMs(memberId: string, route: string): number {
    const full = this.#rows.get(memberId)?.fullRoutes.get(route);
    return Math.max(0, (full?.roomAtMs ?? 0) - monotonicNowMs());
  }

  estimate(memberId: string, incarnation: number): MemberLoadEstimate {
    let row = this.#row(memberId);
    if (row.incarnation !== incarnation) {
      // A new process starts clean; calls that still run on the old one end there.
      row = newRow(incarnation);
      this.#rows.set(memberId, row);
    }
    const nowMs = monotonicNowMs();
    const ageMs = nowMs - row.reportedAtMs;
    const trust = Math.max(0, Math.min(1, (2 * reportFreshMs - ageMs) / reportFreshMs));
    const reported = row.load.runningCalls + row.load.queuedCalls;
    const sinceReport = Math.max(0, row.ownCalls - row.ownCallsAtReport);
    const { meanServiceMs = 0, failureRatio = 0, slotsNow } = row.load;
    const fade = 0.5 ** (ageMs / badnessHalfLifeMs);
    return {
      meanServiceMs: this.#expectedServiceMs(meanServiceMs, fade),
      calls: Math.max(row.ownCalls, trust * reported + sinceReport),
      slots: Math.max(1, slotsNow),
      failureRatio: failureRatio * fade,
    };
  }

  /** A slow member's time fades to that of an unknown one; a fast member's time stays. */
  #expectedServiceMs(reportedMs: number, fade: number): number {
    if (reportedMs === 0) return unknownServiceMs;
    if (reportedMs <= unknownServiceMs) return reportedMs;
    return unknownServiceMs + (reportedMs - unknownServiceMs) * fade;
  }

  pausedUntilMs(memberId: string): number {
    return this.#rows.get(memberId)?.pausedUntilMs ?? 0;
  }

  prune(isKnown: (memberId: string) => boolean): void {
    const nowMs = monotonicNowMs();
    for (const id of [...this.#rows.ids()]) {
      if (!isKnown(id)) this.#rows.delete(id);
      const fullRoutes = this.#rows.get(id)?.fullRoutes ?? [];
      for (const [route, { roomAtMs, untilMs }] of fullRoutes) {
        if (Math.max(roomAtMs, untilMs) < nowMs) this.#rows.get(id)?.fullRoutes.delete(route);
      }
    }
  }

  /** Row of a member unless it is that of a former process. */
  #rowOf(memberId: string, incarnation: number): PressureRow | undefined {
    const row = this.#rows.get(memberId);
    return row?.incarnation === incarnation ? row : undefined;
  }

  #pauseMs(row: PressureRow, reason: RefusalReason): number {
    const changed = row;
    if (unreachableReasons.has(reason)) {
      const pauseMs = unreachablePauseMs * 2 ** row.unreachableInRow;
      changed.unreachableInRow += 1;
      return Math.min(unreachablePauseMaxMs, pauseMs);
    }
    if (notServingReasons.has(reason)) return notServingPauseMs;
    if (reason === RefusalReason.ColdServer) return coldPauseMaxMs;
    return 0;
  }

  #row(memberId: string): PressureRow {
    const known = this.#rows.get(memberId);
    if (known) return known;
    const row = newRow(0);
    this.#rows.set(memberId, row);
    return row;
  }
}
