import type { LedgerEntry } from '../backend-server/ledger.js';
import { RequestOutcome, type OutcomeRecord } from './request-outcome.js';

/** One broken promise. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly requestId: string;
  readonly detail: string;
}

/** Promises that the ledgers can show broken. */
export enum ViolationKind {
  StartedTwice = 'started-twice',
  NotRunButStarted = 'not-run-but-started',
  AnsweredButNotFinished = 'answered-but-not-finished',
  WrongAnswer = 'wrong-answer',
}

/** Ledgers of all backend servers of a run. */
export interface LedgerSet {
  readonly ledgers: readonly Readonly<Record<string, LedgerEntry>>[];
  /** False if the ledger of some backend server could not be read. */
  readonly isComplete: boolean;
}

const sumEntries = (set: LedgerSet): ReadonlyMap<string, LedgerEntry> => {
  const total = new Map<string, LedgerEntry>();
  for (const ledger of set.ledgers) {
    for (const [requestId, { starts, finishes, sheds }] of Object.entries(ledger)) {
      const known = total.get(requestId) ?? { starts: 0, finishes: 0, sheds: 0 };
      total.set(requestId, {
        starts: known.starts + starts,
        finishes: known.finishes + finishes,
        sheds: known.sheds + sheds,
      });
    }
  }
  return total;
};

/**
 * Compares what callers know with what the backend servers did. An incomplete set of ledgers can
 * show violations but cannot show their absence; answers are then not checked against it.
 *
 * @example
 * findViolations(records, { ledgers: [ledger], isComplete: true }).length === 0;
 */
export const findViolations = (
  records: readonly OutcomeRecord[],
  set: LedgerSet,
): readonly Violation[] => {
  const total = sumEntries(set);
  return records.flatMap(({ requestId, outcome, isIdempotent, detail }) => {
    const { starts, finishes } = total.get(requestId) ?? { starts: 0, finishes: 0 };
    const found: Violation[] = [];
    const add = (kind: ViolationKind, text: string): void => {
      found.push({ kind, requestId, detail: text });
    };
    if (!isIdempotent && starts > 1) add(ViolationKind.StartedTwice, `${starts} starts`);
    if (outcome === RequestOutcome.RefusedNotRun && starts > 0) {
      add(ViolationKind.NotRunButStarted, `${starts} starts`);
    }
    if (outcome === RequestOutcome.Answered && set.isComplete && finishes === 0) {
      add(ViolationKind.AnsweredButNotFinished, `${starts} starts`);
    }
    if (outcome === RequestOutcome.WrongAnswer) add(ViolationKind.WrongAnswer, detail);
    return found;
  });
};
