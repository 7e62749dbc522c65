import type { EvidenceRow } from './evidence-row.js';

/** Merges rows that other nodes sent; replaced in tests. */
export interface EvidenceMerge {
  /** Raises `row` in place to what `received` says; true if a counter changed. */
  merge(row: EvidenceRow, received: EvidenceRow): boolean;
}

/** Takes the maximum of each counter, so that duplicated and reordered messages change nothing. */
export class MaximumMerge implements EvidenceMerge {
  merge(row: EvidenceRow, received: EvidenceRow): boolean {
    let isChanged = false;
    const raise = (own: number, other: number): number => {
      if (!(other > own)) return own;
      isChanged = true;
      return other;
    };
    Object.assign(row, {
      calls: raise(row.calls, received.calls),
      failures: raise(row.failures, received.failures),
      overLimit: raise(row.overLimit, received.overLimit),
    });
    const { buckets } = row;
    received.buckets.slice(0, buckets.length).forEach((count, bucket) => {
      buckets[bucket] = raise(buckets[bucket] ?? 0, count);
    });
    return isChanged;
  }
}
