import { monotonicNowMs, Table, type RandomSource } from '@sequoiafield/tables';
import type { AttemptReport } from '@sequoiafield/types';
import {
  backOffFirstMs,
  backOffMaxMs,
  EjectionState,
  ejectingReasons,
  failuresToEject,
  nonEjectingReasons,
  trialMaxMs,
  unansweredAttemptsToEject,
  type Ejector,
} from './ejector.js';

interface EjectionRow {
  incarnation: number;
  failures: number;
  unanswered: number;
  /** Consecutive ejections; a successful answer resets the count. */
  ejections: number;
  isByRefusal: boolean;
  ejectedAtMs: number;
  ejectedUntilMs: number;
  trialSinceMs: number | undefined;
}

const createRow = (): EjectionRow => ({
  incarnation: 0,
  failures: 0,
  unanswered: 0,
  ejections: 0,
  isByRefusal: false,
  ejectedAtMs: Number.NEGATIVE_INFINITY,
  ejectedUntilMs: 0,
  trialSinceMs: undefined,
});

/**
 * Ejects a member as soon as this caller's own attempts justify it, for a jittered back-off that
 * doubles with each ejection. After the back-off, trial calls, one at a time, decide whether the member
 * returns. A new incarnation of a member starts without ejections.
 *
 * @example
 * const ejector = new OutlierEjector(new SeededRandom(1));
 * ejector.report({ memberId, service, hasFailed: true, latencyMs: 5, refusalReason });
 * ejector.ejectionStateOf(memberId, incarnation);
 */
export class OutlierEjector implements Ejector {
  readonly #rows = new Table<EjectionRow>('ejections');

  constructor(private readonly random: RandomSource) {}

  ejectionStateOf(memberId: string, incarnation: number): EjectionState {
    const row = this.#rows.get(memberId);
    if (!row) return EjectionState.NotEjected;
    if (row.incarnation !== incarnation) {
      const isRestart = row.incarnation !== 0;
      row.incarnation = incarnation;
      if (isRestart) Object.assign(row, { ...createRow(), incarnation });
    }
    if (row.ejections === 0) return EjectionState.NotEjected;
    const nowMs = monotonicNowMs();
    const isTrialRunning = row.trialSinceMs !== undefined && nowMs - row.trialSinceMs < trialMaxMs;
    if (nowMs >= row.ejectedUntilMs && !isTrialRunning) return EjectionState.Trial;
    return row.isByRefusal ? EjectionState.EjectedForRefusal : EjectionState.EjectedForFailures;
  }

  ejectionSeverityOf(memberId: string): number {
    const row = this.#rows.get(memberId);
    if (!row) return 0;
    // A member that fails calls may still answer others; an unreachable one is worse.
    return row.ejections + (row.isByRefusal ? 10 : 0);
  }

  begin(memberId: string): void {
    const row = this.#rows.get(memberId);
    if (row && row.ejections > 0) row.trialSinceMs = monotonicNowMs();
  }

  report(report: AttemptReport): void {
    const { refusalReason: reason } = report;
    const row = this.#rows.get(report.memberId);
    // A draining member still answers calls that began before its ejection; they do not end it.
    if (row && monotonicNowMs() - report.latencyMs < row.ejectedAtMs) return;
    if (row) row.trialSinceMs = undefined;
    if (reason !== undefined && nonEjectingReasons.has(reason)) return;
    if (reason !== undefined && ejectingReasons.has(reason)) {
      this.#eject(report.memberId, true);
    } else if (report.hasFailed) {
      this.#countFailure(report.memberId, report.load === undefined);
    } else if (row) {
      Object.assign(row, { ...createRow(), incarnation: row.incarnation });
    }
  }

  prune(isKnown: (memberId: string) => boolean): void {
    for (const id of this.#rows.ids()) if (!isKnown(id)) this.#rows.delete(id);
  }

  #countFailure(memberId: string, isUnanswered: boolean): void {
    const row = this.#ensureRow(memberId);
    row.failures += 1;
    row.unanswered = isUnanswered ? row.unanswered + 1 : 0;
    const isByRefusal = row.unanswered >= unansweredAttemptsToEject;
    // A failed trial ejects the member again at once.
    if (isByRefusal || row.failures >= failuresToEject || row.ejections > 0) {
      this.#eject(memberId, isByRefusal || (row.isByRefusal && isUnanswered));
    }
  }

  #eject(memberId: string, isByRefusal: boolean): void {
    const row = this.#ensureRow(memberId);
    const nowMs = monotonicNowMs();
    row.isByRefusal = isByRefusal;
    // Calls that were already running when the member was ejected do not lengthen the back-off.
    if (row.ejections > 0 && nowMs < row.ejectedUntilMs) return;
    row.ejections += 1;
    row.ejectedAtMs = nowMs;
    const backOffMs = Math.min(backOffMaxMs, backOffFirstMs * 2 ** (row.ejections - 1));
    row.ejectedUntilMs = nowMs + backOffMs * (0.5 + this.random.next());
  }

  #ensureRow(memberId: string): EjectionRow {
    const known = this.#rows.get(memberId);
    if (known) return known;
    const row = createRow();
    this.#rows.set(memberId, row);
    return row;
  }
}
