import { latencyBucketCount, type EvidenceRow } from './evidence-row.js';

/** Row on the wire; `buckets` lists index and count of the buckets that are not empty. */
type WireRow = readonly [
  route: string,
  side: number,
  source: number,
  stage: number,
  calls: number,
  failures: number,
  overLimit: number,
  buckets: readonly number[],
  targetId?: string,
];

/** Rows of one reporter on the wire. */
type WireGroup = readonly [
  reporterId: string,
  incarnation: number,
  dataCentre: string,
  rows: readonly WireRow[],
];

/** Datagram with evidence of one move. */
export interface EvidenceMessage {
  readonly move: string;
  readonly to: string;
  readonly groups: readonly WireGroup[];
}

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

const encodeBuckets = (buckets: readonly number[]): number[] => {
  const pairs: number[] = [];
  buckets.forEach((count, index) => {
    if (count > 0) pairs.push(index, count);
  });
  return pairs;
};

/** Upper bound of the bytes that `msgpackr` writes for a row with counts below 2^32. */
const wireBytes = (wire: WireRow): number =>
  wire[0].length + 36 + 3 * wire[7].length + (wire[8] === undefined ? 0 : wire[8].length + 2);

const encodeRow = (row: EvidenceRow): WireRow => [
  row.route,
  row.side,
  row.source,
  row.stage,
  row.calls,
  row.failures,
  row.overLimit,
  encodeBuckets(row.buckets),
  ...(row.targetId === '' ? ([] as const) : ([row.targetId] as const)),
];

/**
 * Encodes rows in the given order until the next one would exceed the byte budget.
 *
 * @example
 * const message = encodeEvidence('settlement-v2', 'v2', rows, 1100);
 */
export const encodeEvidence = (
  moveId: string,
  toVersion: string,
  rows: readonly EvidenceRow[],
  budgetBytes: number,
): EvidenceMessage => {
  const groups = new Map<string, [string, number, string, WireRow[]]>();
  let usedBytes = moveId.length + toVersion.length + 32;
  for (const row of rows) {
    const wire = encodeRow(row);
    const groupId = `${row.reporterId}\n${row.incarnation}`;
    const group = groups.get(groupId);
    const groupBytes = group ? 0 : row.reporterId.length + row.dataCentre.length + 24;
    const bytes = wireBytes(wire) + groupBytes;
    if (usedBytes + bytes > budgetBytes) break;
    usedBytes += bytes;
    if (group) group[3].push(wire);
    else groups.set(groupId, [row.reporterId, row.incarnation, row.dataCentre, [wire]]);
  }
  return { move: moveId, to: toVersion, groups: [...groups.values()] };
};

const decodeRow = (group: WireGroup, wire: WireRow): EvidenceRow | undefined => {
  if (!Array.isArray(wire) || typeof wire[0] !== 'string' || !Array.isArray(wire[7])) {
    return undefined;
  }
  if (![wire[1], wire[2], wire[3], wire[4], wire[5], wire[6]].every(isCount)) return undefined;
  const buckets = new Array<number>(latencyBucketCount).fill(0);
  for (let position = 0; position + 1 < wire[7].length; position += 2) {
    const index = wire[7][position];
    const count = wire[7][position + 1];
    if (!isCount(index) || !isCount(count) || index >= latencyBucketCount) return undefined;
    buckets[index] = count;
  }
  const [route, side, source, stage, calls, failures, overLimit, , targetId = ''] = wire;
  if (typeof targetId !== 'string') return undefined;
  if (side > 1 || source > 1 || failures > calls) return undefined;
  const [reporterId, incarnation, dataCentre] = group;
  return {
    ...{ reporterId, incarnation, dataCentre, route, side, source, targetId, stage },
    ...{ calls, failures, overLimit, buckets, changedAtMs: 0 },
  };
};

const isGroup = (group: unknown): group is WireGroup =>
  Array.isArray(group) &&
  typeof group[0] === 'string' &&
  isCount(group[1]) &&
  typeof group[2] === 'string' &&
  Array.isArray(group[3]);

/**
 * Decodes a received message. Malformed rows are left out; a body that is not an evidence message
 * yields undefined.
 *
 * @example
 * const decoded = decodeEvidence(body);
 */
export const decodeEvidence = (
  body: unknown,
): { moveId: string; toVersion: string; rows: EvidenceRow[] } | undefined => {
  if (typeof body !== 'object' || body === null) return undefined;
  const { move, to, groups } = body as Partial<EvidenceMessage>;
  if (typeof move !== 'string' || typeof to !== 'string' || !Array.isArray(groups)) {
    return undefined;
  }
  const rows = groups
    .filter(isGroup)
    .flatMap((group) => group[3].map((wire) => decodeRow(group, wire)))
    .filter((row) => row !== undefined);
  return { moveId: move, toVersion: to, rows };
};
