/** Version of a move that a count belongs to. */
export enum VersionSide {
  Old = 0,
  New = 1,
}

/** Node by which a call is counted, and on which event. */
export enum EvidenceSource {
  /** By the node beside the backend server, when a call ended. */
  Ended = 0,
  /** By the calling node, when an attempt got no answer in time. */
  Unanswered = 1,
}

/**
 * Number of latency buckets; bucket i counts latencies up to 2^(i/2) ms, the last one all longer
 * ones.
 */
export const latencyBucketCount = 32;

/**
 * Index of the bucket of a latency; the upper bounds grow by about 41 % from 1 ms to 46 s.
 *
 * @example
 * latencyBucket(4); // 4: up to 2^(4/2) ms
 */
export const latencyBucket = (latencyMs: number): number =>
  latencyMs <= 1 ? 0 : Math.min(latencyBucketCount - 1, Math.ceil(2 * Math.log2(latencyMs)));

/** Fields that identify a row of evidence. */
export interface EvidenceKey {
  readonly reporterId: string;
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly route: string;
  readonly side: VersionSide;
  readonly source: EvidenceSource;
  /** Node that an unanswered attempt was sent to; empty for ended calls, or if not known. */
  readonly targetId: string;
  /** Stage of the move known to the reporter when the calls ended; 0 for the old version. */
  readonly stage: number;
}

/** Cumulative counters of one reporter; they only grow and are merged by maximum. */
export interface EvidenceRow extends EvidenceKey {
  calls: number;
  failures: number;
  /** Successful calls that took longer than the service's latency limit. */
  overLimit: number;
  /** Successful calls by latency. */
  readonly buckets: number[];
  /** Monotonic time of the last change on this node. */
  changedAtMs: number;
}

/**
 * Id of a row within its move.
 *
 * @example
 * table.get(evidenceRowId(row));
 */
export const evidenceRowId = (key: EvidenceKey): string =>
  `${key.reporterId}\n${key.incarnation}\n${key.route}\n${key.side}\n${key.source}\n${key.targetId}\n${key.stage}`;

/**
 * Creates a row with all counters at 0.
 *
 * @example
 * const row = createEvidenceRow(key);
 */
export const createEvidenceRow = (key: EvidenceKey): EvidenceRow => ({
  reporterId: key.reporterId,
  incarnation: key.incarnation,
  dataCentre: key.dataCentre,
  route: key.route,
  side: key.side,
  source: key.source,
  targetId: key.targetId,
  stage: key.stage,
  calls: 0,
  failures: 0,
  overLimit: 0,
  buckets: new Array<number>(latencyBucketCount).fill(0),
  changedAtMs: 0,
});
