import { Table } from '@sequoiafield/tables';
import type { EvidenceMerge } from './evidence-merge.js';
import {
  createEvidenceRow,
  evidenceRowId,
  type EvidenceKey,
  type EvidenceRow,
} from './evidence-row.js';

/** Maximum number of rows per move; only a faulty or hostile sender causes more. */
const rowsMax = 50_000;

/**
 * Evidence of one move: the rows of all reporters known to this node.
 *
 * @example
 * const evidence = new EvidenceTable(new MaximumMerge());
 * evidence.row(key).calls += 1;
 */
export class EvidenceTable {
  readonly #table = new Table<EvidenceRow>('evidence');

  constructor(private readonly evidenceMerge: EvidenceMerge) {}

  get size(): number {
    return this.#table.size;
  }

  rows(): IterableIterator<EvidenceRow> {
    return this.#table.rows();
  }

  /** Returns the row of a key; creates it with counters at 0 if it does not exist. */
  row(key: EvidenceKey, id = evidenceRowId(key)): EvidenceRow {
    const known = this.#table.get(id);
    if (known) return known;
    const row = createEvidenceRow(key);
    this.#table.set(id, row);
    return row;
  }

  /** Merges a received row; true if a counter changed. */
  merge(received: EvidenceRow, nowMs: number): boolean {
    const id = evidenceRowId(received);
    if (!this.#table.has(id) && this.#table.size >= rowsMax) return false;
    const row = this.row(received, id);
    const isChanged = this.evidenceMerge.merge(row, received);
    if (isChanged) row.changedAtMs = nowMs;
    return isChanged;
  }
}
