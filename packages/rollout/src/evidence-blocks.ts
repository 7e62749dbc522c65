import type { EvidenceTable } from './evidence-table.js';
import {
  EvidenceSource,
  VersionSide,
  evidenceRowId,
  latencyBucketCount,
  type EvidenceRow,
} from './evidence-row.js';

/** Counts of one version that were received since the block before. */
export interface VersionCounts {
  calls: number;
  failures: number;
  /** Successful calls over the service's latency limit. */
  overLimit: number;
  readonly buckets: number[];
}

/** Counts of both versions over the same period. */
export interface VersionCountsPair {
  readonly old: VersionCounts;
  readonly next: VersionCounts;
}

/** Counts of the new version's calls on one backend server. */
export interface ReporterCounts {
  readonly dataCentre: string;
  readonly counts: VersionCounts;
}

/** Counts of one route that were received since the block before. */
export interface RouteBlock {
  /** Calls that ended, by the data centre of the reporting node. */
  readonly dataCentres: Map<string, VersionCountsPair>;
  /** Attempts that callers report as unanswered, summed over all data centres. */
  readonly unanswered: VersionCountsPair;
  /** Counts of the new version in `dataCentres`, by reporter. */
  readonly reporters: Map<string, ReporterCounts>;
  /** Counts of the new version in `unanswered`, by the node that the attempts were sent to. */
  readonly targets: Map<string, VersionCounts>;
}

const emptyCounts = (): VersionCounts => ({
  calls: 0,
  failures: 0,
  overLimit: 0,
  buckets: new Array<number>(latencyBucketCount).fill(0),
});

const emptyPair = (): VersionCountsPair => ({ old: emptyCounts(), next: emptyCounts() });

const emptyBlock = (): RouteBlock => ({
  dataCentres: new Map<string, VersionCountsPair>(),
  unanswered: emptyPair(),
  reporters: new Map<string, ReporterCounts>(),
  targets: new Map<string, VersionCounts>(),
});

const getOrCreate = <Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value => {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
};

const addDifference = (
  sum: VersionCounts,
  row: VersionCounts,
  before: VersionCounts | undefined,
): void => {
  const total = sum;
  total.calls += row.calls - (before?.calls ?? 0);
  total.failures += row.failures - (before?.failures ?? 0);
  total.overLimit += row.overLimit - (before?.overLimit ?? 0);
  row.buckets.forEach((count, index) => {
    total.buckets[index] = (total.buckets[index] ?? 0) + count - (before?.buckets[index] ?? 0);
  });
};

/** Selects the rows that a reader counts; the calls of other rows are never counted later. */
export interface BlockFilter {
  isDataCentreCounted(dataCentre: string): boolean;
  isUnansweredCounted(): boolean;
}

/**
 * Converts the cumulative rows of a move to the differences since the last read, per route and data
 * centre.
 *
 * @example
 * const blocks = reader.read(move.evidence, filter);
 */
export class BlockReader {
  readonly #countsAtLastRead = new Map<string, VersionCounts>();

  read(evidence: EvidenceTable, filter: BlockFilter): Map<string, RouteBlock> {
    const blocks = new Map<string, RouteBlock>();
    for (const row of evidence.rows()) {
      const block = getOrCreate(blocks, row.route, emptyBlock);
      this.#add(block, row, filter);
    }
    return blocks;
  }

  #add(block: RouteBlock, row: EvidenceRow, filter: BlockFilter): void {
    const id = evidenceRowId(row);
    const before = this.#countsAtLastRead.get(id);
    const isEnded = row.source === EvidenceSource.Ended;
    if (before && before.calls === row.calls && before.overLimit === row.overLimit) return;
    const { calls, failures, overLimit } = row;
    this.#countsAtLastRead.set(id, { calls, failures, overLimit, buckets: [...row.buckets] });
    const isCounted = isEnded
      ? filter.isDataCentreCounted(row.dataCentre)
      : filter.isUnansweredCounted();
    if (!isCounted) return;
    const pair = isEnded
      ? getOrCreate(block.dataCentres, row.dataCentre, emptyPair)
      : block.unanswered;
    addDifference(row.side === VersionSide.New ? pair.next : pair.old, row, before);
    if (row.side === VersionSide.Old) return;
    const { reporterId, dataCentre, targetId } = row;
    if (!isEnded) {
      if (targetId) addDifference(getOrCreate(block.targets, targetId, emptyCounts), row, before);
      return;
    }
    const reporter = getOrCreate(block.reporters, reporterId, () => ({
      dataCentre,
      counts: emptyCounts(),
    }));
    addDifference(reporter.counts, row, before);
  }
}

/**
 * Adds `counts` to `sum` in place.
 *
 * @example
 * addVersionCounts(total, block.unanswered.old);
 */
export const addVersionCounts = (sum: VersionCounts, counts: VersionCounts): void =>
  addDifference(sum, counts, undefined);

/**
 * Creates counts with all counters at 0.
 *
 * @example
 * const total = createVersionCounts();
 */
export const createVersionCounts = emptyCounts;

const addPair = (sum: VersionCountsPair, pair: VersionCountsPair): void => {
  addVersionCounts(sum.old, pair.old);
  addVersionCounts(sum.next, pair.next);
};

/**
 * Adds up the blocks of several routes.
 *
 * @example
 * const all = mergeBlocks(blocks.values());
 */
export const mergeBlocks = (blocks: Iterable<RouteBlock>): RouteBlock => {
  const merged = emptyBlock();
  for (const { dataCentres, unanswered, reporters, targets } of blocks) {
    dataCentres.forEach((pair, name) =>
      addPair(getOrCreate(merged.dataCentres, name, emptyPair), pair),
    );
    addPair(merged.unanswered, unanswered);
    reporters.forEach(({ dataCentre, counts }, id) => {
      const sum = getOrCreate(merged.reporters, id, () => ({ dataCentre, counts: emptyCounts() }));
      addVersionCounts(sum.counts, counts);
    });
    targets.forEach((counts, id) =>
      addVersionCounts(getOrCreate(merged.targets, id, emptyCounts), counts),
    );
  }
  return merged;
};
