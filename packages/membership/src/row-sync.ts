import {
  LinkRequestKind,
  MemberState,
  type LinkRequester,
  type MemberAnnouncement,
} from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import type { GossipRow } from './gossip-row.js';
import { hashText32 } from './hash.js';
import type { MalformedItemLog } from './malformed-item-log.js';
import type { MembersTable } from './members-table.js';
import { rowToTuple, tupleToRow, type RowTuple } from './wire.js';

/** With 7,700 rows the digests of 256 buckets take 1 KB, and each differing bucket about 30 rows. */
const bucketCount = 256;
/** Number of rows, about 20 KB, after which an answer ends with the current bucket. */
const pageRowsCount = 200;
const requestTimeoutMs = 2000;

interface RowsAnswer {
  readonly rows: readonly RowTuple[];
  /** Number of requested buckets, from the first, that the answer contains; at least 1. */
  readonly coveredBuckets: number;
}

const bucketOf = (id: string): number => hashText32(id) % bucketCount;

/** Excludes suspicion and death from the digest, since each node concludes them itself. */
const digestState = (state: MemberState): MemberState =>
  state === MemberState.Draining || state === MemberState.Left ? state : MemberState.Alive;

/** Empty for a row without a departed server, as in versions that do not know the field. */
const departedHashText = ({ departedServer }: GossipRow): string =>
  departedServer ? ` ${departedServer.instanceId} ${departedServer.bornAtUnixMs}` : '';

const rowHash = (row: GossipRow): number =>
  hashText32(
    `${row.id} ${row.announcedIncarnation} ${row.incarnation} ${row.refutation} ` +
      `${row.serverRevision} ${digestState(row.state)}${departedHashText(row)}`,
  );

const asIntegers = (value: unknown): readonly number[] => {
  if (!Array.isArray(value) || !value.every((item) => Number.isInteger(item))) {
    throw createMembershipError('Member sync message is malformed: expected an array of integers');
  }
  return value;
};

/**
 * Exchanges member rows over links: digests of buckets first, then the rows that differ.
 *
 * @example
 * const addedRows = await sync.pullFrom([seed]);
 */
export class RowSync {
  constructor(
    private readonly members: MembersTable,
    private readonly links: LinkRequester,
    private readonly malformedItems: MalformedItemLog,
  ) {
    links.handle(LinkRequestKind.MemberDigests, (body) => this.#differingBuckets(body));
    links.handle(LinkRequestKind.MemberRows, (body) => this.#rowsOf(body));
  }

  /**
   * Pulls the rows that differ. The first peer compares the digests; the pages come from all peers in
   * turn, so that no single peer carries the load of a joining node. Resolves with the number of merged
   * rows; rejects with `MembershipError` if the first peer does not answer.
   */
  async pullFrom(peers: readonly MemberAnnouncement[]): Promise<number> {
    const [first] = peers;
    if (!first) return 0;
    let buckets = asIntegers(
      await this.#request(first, LinkRequestKind.MemberDigests, { digests: this.#digests() }),
    );
    let merged = 0;
    for (let requestIndex = 0; buckets.length > 0; requestIndex++) {
      const peer = peers[requestIndex % peers.length] as MemberAnnouncement;
      try {
        const page = await this.#pullPage(peer, buckets);
        merged += page.merged;
        buckets = buckets.slice(page.coveredBuckets);
      } catch (error) {
        // A failure of the first peer, which answered before, ends the pull; other peers are skipped.
        if (peer === first) throw error;
      }
    }
    return merged;
  }

  async #pullPage(
    peer: MemberAnnouncement,
    buckets: readonly number[],
  ): Promise<{ merged: number; coveredBuckets: number }> {
    const body = { buckets };
    const answer = (await this.#request(
      peer,
      LinkRequestKind.MemberRows,
      body,
    )) as Partial<RowsAnswer> | null;
    if (!Array.isArray(answer?.rows) || !Number.isInteger(answer.coveredBuckets)) {
      throw createMembershipError(
        `Member rows of ${peer.id} are malformed: rows is not an array or coveredBuckets not an integer`,
      );
    }
    const rows = answer.rows.flatMap((tuple) => this.#readRow(tuple, peer.id));
    const merged = rows.filter((row) =>
      row.id === this.members.selfId ? this.members.mergeOwn(row) : this.members.merge(row),
    );
    return { merged: merged.length, coveredBuckets: Math.max(1, answer.coveredBuckets ?? 1) };
  }

  /** Reads a row; a malformed one affects nothing else. */
  #readRow(tuple: unknown, fromId: string): readonly GossipRow[] {
    try {
      return [tupleToRow(tuple)];
    } catch (error) {
      this.malformedItems.record(fromId, error);
      return [];
    }
  }

  async #request(peer: MemberAnnouncement, kind: LinkRequestKind, body: unknown): Promise<unknown> {
    try {
      return await this.links.request(peer, kind, body, requestTimeoutMs);
    } catch (cause) {
      throw createMembershipError(`Member sync with ${peer.id || peer.address} failed`, cause);
    }
  }

  #digests(): readonly number[] {
    const digests = new Array<number>(bucketCount).fill(0);
    for (const row of this.members.rows.rows()) {
      const bucket = bucketOf(row.id);
      digests[bucket] = ((digests[bucket] ?? 0) ^ rowHash(row)) >>> 0;
    }
    return digests;
  }

  #differingBuckets(body: unknown): readonly number[] {
    const receivedDigests = asIntegers((body as { digests?: unknown } | null)?.digests);
    return this.#digests().flatMap((digest, bucket) =>
      digest === receivedDigests[bucket] ? [] : [bucket],
    );
  }

  #rowsOf(body: unknown): RowsAnswer {
    const buckets = asIntegers((body as { buckets?: unknown } | null)?.buckets);
    const byBucket = new Map<number, RowTuple[]>(buckets.map((bucket) => [bucket, []]));
    for (const row of this.members.rows.rows()) {
      byBucket.get(bucketOf(row.id))?.push(rowToTuple(row));
    }
    const rows: RowTuple[] = [];
    let coveredBuckets = 0;
    for (const bucket of buckets) {
      rows.push(...(byBucket.get(bucket) ?? []));
      coveredBuckets += 1;
      if (rows.length >= pageRowsCount) break;
    }
    return { rows, coveredBuckets };
  }
}
