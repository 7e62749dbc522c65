import { openSync, writeSync } from 'node:fs';

/** What happened to one request id on one backend server. */
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

/** What a ledger counts: work that began, work that ended, and requests refused before any work. */
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
 * Counts by request id. With a file, each line is written before the call goes on, so that the
 * ledger outlives a killed process.
 *
 * @example
 * const ledger = new Ledger('/tmp/ledger.jsonl');
 * ledger.record(LedgerEvent.Start, 'r-1');
 */
export class Ledger {
  readonly #entries = new Map<string, LedgerEntry>();

  readonly #file: number | undefined;

  constructor(filePath?: string) {
    this.#file = filePath === undefined ? undefined : openSync(filePath, 'a');
  }

  record(event: LedgerEvent, requestId: string): void {
    if (this.#file !== undefined) {
      const line: LedgerLine = { event, requestId, atUnixMs: Date.now() };
      writeSync(this.#file, `${JSON.stringify(line)}\n`);
    }
    const entry = this.#entries.get(requestId) ?? { starts: 0, finishes: 0, sheds: 0 };
    const field = fieldByEvent[event];
    this.#entries.set(requestId, { ...entry, [field]: entry[field] + 1 });
  }

  entries(): Readonly<Record<string, LedgerEntry>> {
    return Object.fromEntries(this.#entries);
  }
}
