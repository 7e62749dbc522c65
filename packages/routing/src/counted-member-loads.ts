import { monotonicNowMs, Table } from '@sequoiafield/tables';
import type { AttemptReport, LoadReport } from '@sequoiafield/types';
import {
  loadDecayMs,
  reportedSlotsMaxAgeMs,
  type MemberLoads,
  type ReportedLoad,
} from './member-loads.js';

interface LoadRow {
  running: number;
  reported?: ReportedLoad;
}

/**
 * Estimates the load of a member by this caller's running calls and the calls of others in its last
 * report, whose weight decays. A report never lowers the own count, so a member that reports too
 * little load still becomes full.
 *
 * @example
 * const loads = new CountedMemberLoads('node-1', () => admission.load());
 * loads.begin('node-2');
 * loads.loadRatioOf('node-2', 10); // 0.2
 */
export class CountedMemberLoads implements MemberLoads {
  readonly #rows = new Table<LoadRow>('attempts');

  constructor(
    private readonly selfId: string,
    private readonly ownLoad: (() => LoadReport) | undefined,
  ) {}

  begin(memberId: string): void {
    this.#ensureRow(memberId).running += 1;
  }

  report(report: AttemptReport): void {
    const row = this.#ensureRow(report.memberId);
    row.running = Math.max(0, row.running - 1);
    if (report.load) {
      row.reported = {
        load: report.load,
        receivedAtMs: monotonicNowMs(),
        ownRunningCalls: row.running,
      };
    }
  }

  loadRatioOf(memberId: string, slots: number): number {
    if (memberId === this.selfId && this.ownLoad) {
      const load = this.ownLoad();
      return (load.runningCalls + load.queuedCalls + 1) / Math.max(1, load.slotsNow);
    }
    const row = this.#rows.get(memberId);
    if (!row) return 1 / Math.max(1, slots);
    if (!row.reported) return (row.running + 1) / Math.max(1, slots);
    const { load, receivedAtMs, ownRunningCalls } = row.reported;
    const ageMs = monotonicNowMs() - receivedAtMs;
    const callsOfOthers = Math.max(0, load.runningCalls + load.queuedCalls - ownRunningCalls);
    const slotsNow = ageMs < reportedSlotsMaxAgeMs ? load.slotsNow : slots;
    return (
      (row.running + callsOfOthers * Math.exp(-ageMs / loadDecayMs) + 1) / Math.max(1, slotsNow)
    );
  }

  prune(isKnown: (memberId: string) => boolean): void {
    for (const id of this.#rows.ids()) if (!isKnown(id)) this.#rows.delete(id);
  }

  #ensureRow(memberId: string): LoadRow {
    const known = this.#rows.get(memberId);
    if (known) return known;
    const row: LoadRow = { running: 0 };
    this.#rows.set(memberId, row);
    return row;
  }
}
