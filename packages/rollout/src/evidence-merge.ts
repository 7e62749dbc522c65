import type { EvidenceRow } from './evidence-row.js';

/** Merges rows received from other nodes; replaced in tests. */
export interface EvidenceMerge {
  /** Raises the counters of `row` in place to those of `received`; true if a counter changed. */
  merge(row: EvidenceRow, received: EvidenceRow): boolean;
}

const counters = ['calls', 'failures', 'overLimit'] as const;

/** Takes the maximum of each counter, so that duplicated and reordered messages change nothing. */
export class MaximumMerge implements EvidenceMerge {
  merge(target: EvidenceRow, received: EvidenceRow): boolean {
    const row = target;
    let isChanged = false;
    for (const counter of counters) {
      if (received[counter] > row[counter]) {
        row[counter] = received[counter];
        isChanged = true;
      }
    }
    const { buckets } = row;
    for (let bucket = 0; bucket < buckets.length; bucket += 1) {
      const count = received.buckets[bucket] ?? 0;
      if (count > (buckets[bucket] ?? 0)) {
        buckets[bucket] = count;
        isChanged = true;
      }
    }
    return isChanged;
  }
}
