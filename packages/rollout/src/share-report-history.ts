import type { MemberView } from '@sequoiafield/types';
import type { MoveState } from './move-state.js';
import { isLive } from './rendezvous.js';

/** Cumulative counts of one node's own version, as it reports them with its evidence. */
export interface ShareReport {
  /** Monotonic time of the reporter, so that delays on the way do not change the rate. */
  readonly atMs: number;
  readonly offered: number;
  readonly overShare: number;
}

/** Calls of all nodes over the window. */
export interface ShareTotals {
  readonly offeredNew: number;
  readonly overShareNew: number;
  readonly offeredOld: number;
}

interface Reporter {
  reports: ShareReport[];
  heardAtMs: number;
}

/** Length of the window, and the shortest span that is scaled up to it, in exchanges. */
const windowExchanges = 4;
const spanMinExchanges = 2.5;
/** Reports kept; a delayed tick makes the span a little longer than the window. */
const spanMaxExchanges = 4.5;
/** Older reports by up to this were reordered on the way; much older ones come from a new process. */
const reorderedExchanges = 10;
/** A reporter that was not heard for this many exchanges has no recent counts. */
const heardMaxExchanges = 2.5;

/** Part of the nodes beside the old version that may be missing; one may always be. */
const missingMaxPart = 0.25;

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/**
 * Report in a received message, or undefined if it holds none.
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
 * Reports of one move by reporter, and their totals over a window of four exchanges.
 *
 * @example
 * reports.add('ath-1-a', { atMs: 12_000, offered: 800, overShare: 0 }, nowMs, 1000);
 * const totals = reports.totals(move, members, nowMs, 1000);
 */
export class ShareReportHistory {
  readonly #reporters = new Map<string, Reporter>();

  add(reporterId: string, report: ShareReport, nowMs: number, intervalMs: number): void {
    const reporter = this.#reporters.get(reporterId) ?? { reports: [], heardAtMs: nowMs };
    const last = reporter.reports[reporter.reports.length - 1];
    const behindMs = last ? last.atMs - report.atMs : -1;
    if (behindMs >= 0 && behindMs < reorderedExchanges * intervalMs) return;
    // A process that started again counts from 0, and its monotonic clock too.
    const isRestarted = last && (behindMs >= 0 || report.offered < last.offered);
    if (isRestarted) reporter.reports = [];
    reporter.reports.push(report);
    const sinceMs = report.atMs - spanMaxExchanges * intervalMs;
    reporter.reports = reporter.reports.filter(({ atMs }) => atMs >= sinceMs);
    reporter.heardAtMs = nowMs;
    this.#reporters.set(reporterId, reporter);
  }

  /**
   * Totals over the window, or undefined while too many nodes beside the old version are not heard:
   * without their counts the share of the new version would look too high. A node with a stale
   * snapshot does not know the move and reports nothing, so that a few may be missing; each of them
   * counts as the busiest of the others.
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
    const missingMax = Math.max(1, (offeredOld.length + missing) * missingMaxPart);
    if (offeredOld.length === 0 || missing > missingMax) return undefined;
    const heardOld = offeredOld.reduce((sum, offered) => sum + offered, 0);
    const missedOld = missing * Math.max(...offeredOld);
    return { offeredNew, overShareNew, offeredOld: heardOld + missedOld };
  }

  /** Counts of one reporter, scaled to the window. */
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
    const isRecent = nowMs - reporter.heardAtMs <= heardMaxExchanges * intervalMs;
    if (!isRecent || spanMs < spanMinExchanges * intervalMs) return undefined;
    const scale = (windowExchanges * intervalMs) / spanMs;
    return {
      offered: (last.offered - first.offered) * scale,
      overShare: Math.max(0, last.overShare - first.overShare) * scale,
    };
  }
}
