import { monotonicNowMs, Table } from '@sequoiafield/tables';
import {
  RefusalReason,
  type AttemptReport,
  type LoadReport,
  type MemberRow,
} from '@sequoiafield/types';
import { ServiceBaseline } from './service-baseline.js';

/**
 * A report counts in full for at least this long, or for half of the service's typical time if that is
 * longer, since the load changes as calls end; its weight falls to 0 within the same time again.
 */
const reportFullWeightMinMs = 300;
const reportFullWeightServiceShare = 0.5;
/**
 * Reported failures and slowness count half after at least this time, so that a member which recovered
 * is tried again although others have free slots.
 */
const reportedPenaltyHalfLifeMinMs = 1000;
/**
 * Calls of this node that would usually reach the member within the half-life. All nodes together then
 * send a slow member a part of the usual load, whatever the size of the fleet.
 */
const usualCallsPerHalfLife = 2;

/**
 * Time for which a member that refused a call because its queue was full gets no call of that route.
 * Its queue is still long then; a shorter time costs a round trip for each call of an overloaded
 * service.
 */
const fullRoutePauseMs = 25;

/**
 * Deviation of a member's mean service time from the typical one, as a natural logarithm, that chance
 * explains. Without it all nodes prefer the same few members, which then queue calls.
 */
const chanceDeviation = 0.25;

/** First pause of a member that could not be reached, doubled up to the maximum. */
const unreachablePauseFirstMs = 250;
const unreachablePauseMaxMs = 2000;
/**
 * Calls in a row that a member left without any answer for the latency target of its service, after
 * which it is paused like one that cannot be reached. Packets to it may be lost while its link stands.
 * One call may also end without an answer because its server is slow.
 */
const unansweredToPauseCount = 2;
/** Pause of a member whose server takes no new work, such as one that drains. */
const notServingPauseMs = 300;
/** Pause of a member that is cold. */
const coldPauseMs = 250;

const unreachableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ConnectFailed,
  RefusalReason.LinkLost,
  RefusalReason.WrongIncarnation,
]);

/** Ends of attempts to which a member gave no answer, if the report has no load of the member. */
const unansweredReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.Cancelled,
  RefusalReason.DeadlinePassed,
]);

const notServingReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.DataCentreEvacuated,
  RefusalReason.Draining,
  RefusalReason.NotReady,
  RefusalReason.VersionRolledBack,
  RefusalReason.WrongServer,
  RefusalReason.WrongVersion,
]);

interface MemberLoadRow {
  incarnation: number;
  load: LoadReport;
  reportedAtMs: number;
  /** Attempts of this node that have not ended. */
  ownCalls: number;
  ownCallsAtReport: number;
  pausedUntilMs: number;
  consecutiveUnreachableCount: number;
  consecutiveUnansweredCount: number;
  /** Refusals for a full queue, by route: calls of a route with a longer target may wait longer. */
  readonly fullRoutes: Map<string, FullRoute>;
}

interface FullRoute {
  readonly pausedUntilMs: number;
  /** When the member expects to accept a call of the route. */
  readonly acceptsAtMs: number;
}

const createRow = (incarnation: number): MemberLoadRow => ({
  incarnation,
  load: { runningCalls: 0, queuedCalls: 0, slotsNow: 0 },
  reportedAtMs: Number.NEGATIVE_INFINITY,
  ownCalls: 0,
  ownCallsAtReport: 0,
  pausedUntilMs: 0,
  consecutiveUnreachableCount: 0,
  consecutiveUnansweredCount: 0,
  fullRoutes: new Map(),
});

/** Load of a member as estimated by this node. */
export interface MemberLoadEstimate {
  readonly meanServiceMs: number;
  /** Estimated number of calls that run on the member's server or are queued for it. */
  readonly calls: number;
  readonly slots: number;
  readonly failureRatio: number;
  /** Whether a report of the member counts more than what is typical. */
  readonly isReportFresh: boolean;
}

/**
 * Estimate of a member of the own data centre that has never reported and runs no call of this node: it
 * takes no time, so that a server that joins gets a call from each near node. Only near members, since
 * each node would otherwise try the whole fleet.
 */
const newNearEstimate = (slots: number): MemberLoadEstimate => ({
  meanServiceMs: 0,
  calls: 0,
  slots,
  failureRatio: 0,
  isReportFresh: false,
});

/**
 * Tracks the load of members by their reports and by this node's own calls since the last report.
 * Members that refused a call or could not be reached are paused.
 */
export class MemberLoadTracker {
  readonly #rows = new Table<MemberLoadRow>('member-loads');

  readonly #baselines = new Table<ServiceBaseline>('service-baselines');

  /** `targetLatencyMsOf` returns the longest latency target of a service's routes. */
  constructor(
    private readonly ownDataCentre: string,
    private readonly targetLatencyMsOf: (service: string) => number,
  ) {}

  begin(memberId: string): void {
    this.#ensureRow(memberId).ownCalls += 1;
  }

  /** Returns what is typical for the members of a service. */
  baselineOf(service: string): ServiceBaseline {
    const known = this.#baselines.get(service);
    if (known) return known;
    const baseline = new ServiceBaseline(() => this.targetLatencyMsOf(service));
    this.#baselines.set(service, baseline);
    return baseline;
  }

  /** Records the end of an attempt at a member of a data centre. */
  report(report: AttemptReport, dataCentre: string): void {
    const row = this.#ensureRow(report.memberId);
    const nowMs = monotonicNowMs();
    row.ownCalls = Math.max(0, row.ownCalls - 1);
    if (report.load) {
      row.consecutiveUnansweredCount = 0;
      row.load = report.load;
      row.reportedAtMs = nowMs;
      row.ownCallsAtReport = row.ownCalls;
      this.baselineOf(report.service).recordReport(report.load, dataCentre);
    }
    const { refusalReason: reason } = report;
    if (reason === undefined) {
      row.consecutiveUnreachableCount = 0;
      return;
    }
    if (reason === RefusalReason.QueueFull) {
      const acceptsAtMs = nowMs + (report.retryAfterMs ?? fullRoutePauseMs);
      row.fullRoutes.set(report.route ?? '', {
        pausedUntilMs: nowMs + fullRoutePauseMs,
        acceptsAtMs,
      });
    } else {
      const pauseMs = this.#isUnanswered(report)
        ? this.#unansweredPauseMs(row)
        : this.#pauseMs(row, reason);
      row.pausedUntilMs = Math.max(row.pausedUntilMs, nowMs + pauseMs);
    }
  }

  /** Whether the member is paused for the route because it just refused a call with a full queue. */
  isFull(memberId: string, incarnation: number, route: string): boolean {
    const fullRoute = this.#rowOfIncarnation(memberId, incarnation)?.fullRoutes.get(route);
    return fullRoute !== undefined && monotonicNowMs() < fullRoute.pausedUntilMs;
  }

  /** Whether the member is neither paused nor full for the route; without one, whether it is paused. */
  isAvailable(memberId: string, incarnation: number, route: string | undefined): boolean {
    const row = this.#rowOfIncarnation(memberId, incarnation);
    if (!row) return true;
    const nowMs = monotonicNowMs();
    const fullRoute = route === undefined ? undefined : row.fullRoutes.get(route);
    const fullUntilMs = fullRoute?.pausedUntilMs ?? 0;
    return nowMs >= row.pausedUntilMs && nowMs >= fullUntilMs;
  }

  /** Time until a member that refused a call of the route expects to accept one. */
  retryAfterMs(memberId: string, route: string): number {
    const fullRoute = this.#rows.get(memberId)?.fullRoutes.get(route);
    return Math.max(0, (fullRoute?.acceptsAtMs ?? 0) - monotonicNowMs());
  }

  /**
   * Estimates the load of a member of a service of which this node uses about `usedMembersCount`
   * members.
   */
  estimate(
    { id: memberId, incarnation, dataCentre }: MemberRow,
    service: string,
    usedMembersCount: number,
  ): MemberLoadEstimate {
    const baseline = this.baselineOf(service);
    let row = this.#ensureRow(memberId);
    if (row.incarnation !== incarnation) {
      // A new incarnation starts with an empty row; calls of the former one do not count for it.
      row = createRow(incarnation);
      this.#rows.set(memberId, row);
    }
    const isNew = row.reportedAtMs === Number.NEGATIVE_INFINITY;
    const isNewNear = isNew && dataCentre === this.ownDataCentre;
    if (isNewNear && row.ownCalls === 0) return newNearEstimate(baseline.slots);
    const nowMs = monotonicNowMs();
    const ageMs = nowMs - row.reportedAtMs;
    const fullWeightMs = Math.max(
      reportFullWeightMinMs,
      reportFullWeightServiceShare * baseline.serviceMs,
    );
    const reportWeight = Math.max(0, Math.min(1, (2 * fullWeightMs - ageMs) / fullWeightMs));
    const reportedCalls = row.load.runningCalls + row.load.queuedCalls;
    const ownCallsSinceReport = Math.max(0, row.ownCalls - row.ownCallsAtReport);
    const { meanServiceMs = 0, failureRatio = 0, slotsNow } = row.load;
    const halfLifeMs = Math.max(
      reportedPenaltyHalfLifeMinMs,
      usualCallsPerHalfLife * baseline.meanGapMs * usedMembersCount,
    );
    const decay = 0.5 ** (ageMs / halfLifeMs);
    const slots = slotsNow > 0 ? slotsNow : baseline.slots;
    const typicalCalls = baseline.loadRatio(dataCentre) * slots;
    const calls = reportWeight * reportedCalls + (1 - reportWeight) * typicalCalls;
    return {
      meanServiceMs: this.#expectedServiceMs(meanServiceMs, decay, baseline.serviceMs),
      calls: Math.max(row.ownCalls, calls + ownCallsSinceReport),
      slots,
      failureRatio: failureRatio * decay,
      isReportFresh: reportWeight > 0.5,
    };
  }

  /**
   * The time of a slow member decays to the typical one; the time of a fast one stays. The part of a
   * deviation that the mean of few calls shows by chance does not count.
   */
  #expectedServiceMs(reportedMs: number, decay: number, typicalMs: number): number {
    if (reportedMs === 0) return typicalMs;
    const deviation = Math.log(reportedMs / typicalMs);
    const counted = Math.max(0, Math.abs(deviation) - chanceDeviation);
    if (deviation < 0) return typicalMs * Math.exp(-counted);
    return typicalMs * (1 + (Math.exp(counted) - 1) * decay);
  }

  pausedUntilMs(memberId: string): number {
    return this.#rows.get(memberId)?.pausedUntilMs ?? 0;
  }

  prune(isKnown: (memberId: string) => boolean): void {
    const nowMs = monotonicNowMs();
    for (const id of [...this.#rows.ids()]) {
      if (!isKnown(id)) this.#rows.delete(id);
      const fullRoutes = this.#rows.get(id)?.fullRoutes ?? [];
      for (const [route, { acceptsAtMs, pausedUntilMs }] of fullRoutes) {
        if (Math.max(acceptsAtMs, pausedUntilMs) < nowMs)
          this.#rows.get(id)?.fullRoutes.delete(route);
      }
    }
  }

  /** Returns the row of a member unless it belongs to another incarnation. */
  #rowOfIncarnation(memberId: string, incarnation: number): MemberLoadRow | undefined {
    const row = this.#rows.get(memberId);
    return row?.incarnation === incarnation ? row : undefined;
  }

  #pauseMs(row: MemberLoadRow, reason: RefusalReason): number {
    const changed = row;
    if (unreachableReasons.has(reason)) {
      const pauseMs = unreachablePauseFirstMs * 2 ** row.consecutiveUnreachableCount;
      changed.consecutiveUnreachableCount += 1;
      return Math.min(unreachablePauseMaxMs, pauseMs);
    }
    if (notServingReasons.has(reason)) return notServingPauseMs;
    if (reason === RefusalReason.ColdServer) return coldPauseMs;
    return 0;
  }

  /** Whether the member left an attempt without an answer for the latency target of its service. */
  #isUnanswered({ refusalReason, load, latencyMs, service }: AttemptReport): boolean {
    if (refusalReason === undefined || load || !unansweredReasons.has(refusalReason)) return false;
    return latencyMs >= this.targetLatencyMsOf(service);
  }

  #unansweredPauseMs(row: MemberLoadRow): number {
    const changed = row;
    changed.consecutiveUnansweredCount += 1;
    const pausesBefore = changed.consecutiveUnansweredCount - unansweredToPauseCount;
    if (pausesBefore < 0) return 0;
    return Math.min(unreachablePauseMaxMs, unreachablePauseFirstMs * 2 ** pausesBefore);
  }

  #ensureRow(memberId: string): MemberLoadRow {
    const known = this.#rows.get(memberId);
    if (known) return known;
    const row = createRow(0);
    this.#rows.set(memberId, row);
    return row;
  }
}
