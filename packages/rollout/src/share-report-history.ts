import type { MemberView } from '@sequoiafield/types';
import type { MoveState } from './move-state.js';
import { isLive } from './rendezvous.js';

/** Cumulative counts of a node's own version, which the node reports with its evidence. */
export interface ShareReport {
  /** Monotonic time of the reporter, so that network delays do not change the rate. */
  readonly atMs: number;
  readonly offered: number;
  readonly overShare: number;
}

/** Calls on all nodes over the window. */
export interface ShareTotals {
  readonly offeredNew: number;
  readonly overShareNew: number;
  readonly offeredOld: number;
}

interface Reporter {
  reports: ShareReport[];
  receivedAtMs: number;
}

/** Length of the window in exchanges. */
const windowExchanges = 4;
/** Shortest time between first and last report that is scaled up to the window, in exchanges. */
const spanMinExchanges = 2.5;
/**
 * Longest time between a kept report and the last one, in exchanges; it is longer than the window,
 * since a delayed tick makes the span of the reports a little longer.
 */
const spanMaxExchanges = 4.5;
/**
 * Exchanges by which a report may lie behind the last one and count as reordered by the network;
 * reports that lie further behind come from a new process.
 */
const reorderedMaxExchanges = 10;
/** Exchanges without a report after which the counts of a reporter are not used. */
const silentAfterExchanges = 2.5;

/** Fraction of the old version's nodes whose reports may be missing; one may always be missing. */
const missingFractionMax = 0.25;

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/**
 * Reads the report in a received message; undefined if it holds none.
 *
 * @example
 * const report = readShareReport([12_000, 800, 0]);
 */
export const readShareReport = (wire: unknown): ShareReport | undefined => {
  if (!Array.isArray(wire) || wire.length !== 3 || !wire.every(isCount)) return undefined;
  const [atMs = 0, offered = 0, overShare = 0] = wire;
  return { atMs, offered, overShare };
};

/**
 * Keeps the reports of one move by reporter and computes their totals over a window of four exchanges.
 *
 * @example
 * reports.add('ath-1-a', { atMs: 12_000, offered: 800, overShare: 0 }, nowMs, 1000);
 * const totals = reports.totals(move, members, nowMs, 1000);
 */
export class ShareReportHistory {
  readonly #reporters = new Map<string, Reporter>();

  add(reporterId: string, report: ShareReport, nowMs: number, intervalMs: number): void {
    const reporter = this.#reporters.get(reporterId) ?? { reports: [], receivedAtMs: nowMs };
    const last = reporter.reports[reporter.reports.length - 1];
    const olderByMs = last ? last.atMs - report.atMs : -1;
    if (olderByMs >= 0 && olderByMs < reorderedMaxExchanges * intervalMs) return;
    // The counts and the monotonic clock of a restarted process start at 0 again.
    const isRestarted = last && (olderByMs >= 0 || report.offered < last.offered);
    if (isRestarted) reporter.reports = [];
    reporter.reports.push(report);
    const sinceMs = report.atMs - spanMaxExchanges * intervalMs;
    reporter.reports = reporter.reports.filter(({ atMs }) => atMs >= sinceMs);
    reporter.receivedAtMs = nowMs;
    this.#reporters.set(reporterId, reporter);
  }

  /**
   * Computes the totals over the window; undefined while the reports of too many nodes of the old
   * version are missing, since the computed share of the new version would be too high. A node with a
   * stale snapshot does not know the move and sends no report, so a few may be missing; each missing
   * node is assumed to have as many calls as the busiest of the others.
   */
  totals(
    { intent }: MoveState,
    members: MemberView,
    nowMs: number,
    intervalMs: number,
  ): ShareTotals | undefined {
    let [offeredNew, overShareNew, missing] = [0, 0, 0];
    const offeredOld: number[] = [];
    for (const { id, backendVersion } of members.ofService(intent.service).filter(isLive)) {
      const counts = this.#countsOf(id, nowMs, intervalMs);
      if (backendVersion === intent.toVersion) {
        offeredNew += counts?.offered ?? 0;
        overShareNew += counts?.overShare ?? 0;
      } else if (backendVersion === intent.fromVersion) {
        if (counts) offeredOld.push(counts.offered);
        else missing += 1;
      }
    }
    const missingMax = Math.max(1, (offeredOld.length + missing) * missingFractionMax);
    if (offeredOld.length === 0 || missing > missingMax) return undefined;
    const reportedOld = offeredOld.reduce((sum, offered) => sum + offered, 0);
    const estimatedOld = missing * Math.max(...offeredOld);
    return { offeredNew, overShareNew, offeredOld: reportedOld + estimatedOld };
  }

  /** Counts of one reporter, scaled to the window; undefined without recent reports. */
  #countsOf(
    reporterId: string,
    nowMs: number,
    intervalMs: number,
  ): { offered: number; overShare: number } | undefined {
    const reporter = this.#reporters.get(reporterId);
    const [first] = reporter?.reports ?? [];
    const last = reporter?.reports[reporter.reports.length - 1];
    if (!reporter || !first || !last) return undefined;
    const spanMs = last.atMs - first.atMs;
    const isRecent = nowMs - reporter.receivedAtMs <= silentAfterExchanges * intervalMs;
    if (!isRecent || spanMs < spanMinExchanges * intervalMs) return undefined;
    const scale = (windowExchanges * intervalMs) / spanMs;
    return {
      offered: (last.offered - first.offered) * scale,
      overShare: Math.max(0, last.overShare - first.overShare) * scale,
    };
  }
}
