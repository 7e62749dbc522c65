import { Table } from '@sequoiafield/tables';
import type { EvidenceMerge } from './evidence-merge.js';
import {
  createEvidenceRow,
  evidenceRowId,
  type EvidenceKey,
  type EvidenceRow,
} from './evidence-row.js';

/** Rows kept per move; more would come only from a faulty or hostile sender. */
const maxRows = 50_000;

/**
 * Evidence of one move from every reporter that this node heard of.
 *
 * @example
 * const evidence = new EvidenceTable(new MaximumMerge());
 * evidence.row(key).calls += 1;
 */
export class EvidenceTable {
  readonly #table = new Table<EvidenceRow>('evidence');

  constructor(private readonly merging: EvidenceMerge) {}

  get size(): number {
    return this.#table.size;
  }

  rows(): IterableIterator<EvidenceRow> {
    return this.#table.rows();
  }

  /** Row of a key, created with counters at 0. */
  row(key: EvidenceKey, id = evidenceRowId(key)): EvidenceRow {
    const known = this.#table.get(id);
    if (known) return known;
    const row = createEvidenceRow(key);
    this.#table.set(id, row);
    return row;
  }

  /** Merges a received row; true if it said something new. */
  merge(received: EvidenceRow, nowMs: number): boolean {
    const id = evidenceRowId(received);
    if (!this.#table.has(id) && this.#table.size >= maxRows) return false;
    const row = this.row(received, id);
    const isChanged = this.merging.merge(row, received);
    if (isChanged) row.changedAtMs = nowMs;
    return isChanged;
  }
}
