import type { LedgerEntry } from '../backend-server/ledger.js';
import { RequestOutcome, type OutcomeRecord } from './request-outcome.js';

/** Contradiction between the outcome of a request and the ledgers. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly requestId: string;
  readonly detail: string;
}

/** Kinds of violations that a comparison with the ledgers shows. */
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

const sumEntries = (ledgerSet: LedgerSet): ReadonlyMap<string, LedgerEntry> => {
  const total = new Map<string, LedgerEntry>();
  for (const ledger of ledgerSet.ledgers) {
    for (const [requestId, { starts, finishes, sheds }] of Object.entries(ledger)) {
      const sum = total.get(requestId) ?? { starts: 0, finishes: 0, sheds: 0 };
      total.set(requestId, {
        starts: sum.starts + starts,
        finishes: sum.finishes + finishes,
        sheds: sum.sheds + sheds,
      });
    }
  }
  return total;
};

/**
 * Compares the outcomes that callers saw with the ledgers of the backend servers. An incomplete set
 * of ledgers can show violations but not their absence; answered requests are then not checked
 * against it.
 *
 * @example
 * findViolations(records, { ledgers: [ledger], isComplete: true }).length === 0;
 */
export const findViolations = (
  records: readonly OutcomeRecord[],
  ledgerSet: LedgerSet,
): readonly Violation[] => {
  const total = sumEntries(ledgerSet);
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
    if (outcome === RequestOutcome.Answered && ledgerSet.isComplete && finishes === 0) {
      add(ViolationKind.AnsweredButNotFinished, `${starts} starts`);
    }
    if (outcome === RequestOutcome.WrongAnswer) add(ViolationKind.WrongAnswer, detail);
    return found;
  });
};
