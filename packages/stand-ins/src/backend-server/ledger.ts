import { openSync, writeSync } from 'node:fs';

/** Counts of the events of one request id on one backend server. */
export interface LedgerEntry {
  readonly starts: number;
  readonly finishes: number;
  readonly sheds: number;
}

/** One line of a ledger file. */
export interface LedgerLine {
  readonly event: LedgerEvent;
  readonly requestId: string;
  readonly atUnixMs: number;
}

/** Events that a ledger counts: work that started, work that finished, and calls that were shed. */
export enum LedgerEvent {
  Start = 'start',
  Finish = 'finish',
  Shed = 'shed',
}

const fieldByEvent = {
  [LedgerEvent.Start]: 'starts',
  [LedgerEvent.Finish]: 'finishes',
  [LedgerEvent.Shed]: 'sheds',
} as const;

/**
 * Counts events by request id. With a file, each event is written before the call continues, so
 * that the ledger survives a kill of the process.
 *
 * @example
 * const ledger = new Ledger('/tmp/ledger.jsonl');
 * ledger.record(LedgerEvent.Start, 'r-1');
 */
export class Ledger {
  readonly #entries = new Map<string, LedgerEntry>();

  readonly #fileDescriptor: number | undefined;

  constructor(filePath?: string) {
    this.#fileDescriptor = filePath === undefined ? undefined : openSync(filePath, 'a');
  }

  record(event: LedgerEvent, requestId: string): void {
    if (this.#fileDescriptor !== undefined) {
      const line: LedgerLine = { event, requestId, atUnixMs: Date.now() };
      writeSync(this.#fileDescriptor, `${JSON.stringify(line)}\n`);
    }
    const entry = this.#entries.get(requestId) ?? { starts: 0, finishes: 0, sheds: 0 };
    const field = fieldByEvent[event];
    this.#entries.set(requestId, { ...entry, [field]: entry[field] + 1 });
  }

  entries(): Readonly<Record<string, LedgerEntry>> {
    return Object.fromEntries(this.#entries);
  }
}
