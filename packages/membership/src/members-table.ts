import { Table, monotonicNowMs } from '@sequoiafield/tables';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';
import { comparePrecedence, isLiveState, type GossipRow } from './gossip-row.js';

/** What a node believes of a member, apart from where it is. */
export type KnownMemberState = Pick<
  GossipRow,
  'announcedIncarnation' | 'incarnation' | 'refutation' | 'state'
>;

interface Tombstone {
  readonly announcedIncarnation: number;
  readonly incarnation: number;
  readonly refutation: number;
  readonly configVersion: number;
  readonly removedAtMs: number;
}

const hourMs = 3_600_000;
/** Dead rows stay long enough that a region that was cut off for hours is still probed. */
const deadRetentionMs = 24 * hourMs;
const leftRetentionMs = 10 * 60_000;
/** Longer than any rumour can still travel. */
const tombstoneRetentionMs = 48 * hourMs;

/**
 * Members as this node believes them, indexed by service and by liveness.
 *
 * @example
 * const members = new MembersTable(selfRow);
 * members.merge(row);
 * const upstreams = members.ofService('settlement');
 */
export class MembersTable implements MemberView {
  readonly rows = new Table<GossipRow>('members');

  readonly #byService = new Map<string, GossipRow[]>();

  readonly #live: GossipRow[] = [];

  readonly #livePositions = new Map<string, number>();

  readonly #tombstones = new Map<string, Tombstone>();

  constructor(readonly self: GossipRow) {
    this.#insert(self);
  }

  get selfId(): string {
    return this.self.id;
  }

  fleetSize(): number {
    return this.#live.length;
  }

  /** Live members, this node included, in no order; valid until the next change. */
  live(): readonly GossipRow[] {
    return this.#live;
  }

  get(id: string): GossipRow | undefined {
    return this.rows.get(id);
  }

  all(): Iterable<MemberRow> {
    return this.rows.rows();
  }

  ofService(service: string): readonly MemberRow[] {
    return this.#byService.get(service) ?? [];
  }

  /** What this node last believed of an id, for telling that member; undefined if nothing. */
  knownState(id: string): KnownMemberState | undefined {
    const row = this.rows.get(id);
    if (row) return row;
    const tombstone = this.#tombstones.get(id);
    return tombstone && { ...tombstone, state: MemberState.Dead };
  }

  /** Highest configuration version that any incarnation of an id was heard to have. */
  highestKnownConfigVersion(id: string): number {
    return this.rows.get(id)?.configVersion ?? this.#tombstones.get(id)?.configVersion ?? 0;
  }

  /**
   * Takes over a row of another node if it is newer; says whether anything changed.
   * Suspicion and death are not taken over for a member that is known: each node concludes
   * them from observers, so that old beliefs of a healed partition evict nobody.
   */
  merge(heard: GossipRow): boolean {
    if (heard.id === this.selfId) return false;
    const known = this.rows.get(heard.id);
    if (known) return this.#mergeKnown(known, heard);
    const tombstone = this.#tombstones.get(heard.id);
    if (tombstone && comparePrecedence({ ...tombstone, state: MemberState.Dead }, heard) >= 0) {
      return false;
    }
    const state = heard.state === MemberState.Suspect ? MemberState.Alive : heard.state;
    this.#insert({
      ...heard,
      state,
      configVersion: Math.max(heard.configVersion, tombstone?.configVersion ?? 0),
      stateChangedAtMs: monotonicNowMs(),
    });
    this.#tombstones.delete(heard.id);
    return true;
  }

  #mergeKnown(known: GossipRow, heard: GossipRow): boolean {
    const row = known;
    if (heard.configVersion > row.configVersion) row.configVersion = heard.configVersion;
    const isServerNews = this.#mergeServer(row, heard);
    if (comparePrecedence(heard, known) <= 0) return isServerNews;
    const isSameEpoch =
      heard.announcedIncarnation === known.announcedIncarnation &&
      heard.incarnation === known.incarnation &&
      heard.refutation === known.refutation;
    const isBelief = heard.state === MemberState.Suspect || heard.state === MemberState.Dead;
    if (isSameEpoch && isBelief) return isServerNews;
    const state = heard.state === MemberState.Suspect ? MemberState.Alive : heard.state;
    const isSameLife = heard.incarnation === known.incarnation;
    if (!isSameLife || heard.announcedIncarnation > known.announcedIncarnation) {
      this.#remove(known);
      this.#insert({
        ...heard,
        state,
        configVersion: row.configVersion,
        stateChangedAtMs: monotonicNowMs(),
      });
      return true;
    }
    row.refutation = heard.refutation;
    this.setState(row, state);
    return true;
  }

  /** The backend server beside a node may change while the node lives. */
  #mergeServer(row: GossipRow, heard: GossipRow): boolean {
    if (heard.incarnation !== row.incarnation) return false;
    if (heard.serverRevision <= row.serverRevision) return false;
    this.setBackendServer(row, heard);
    return true;
  }

  /** Changes the backend server of a row and its place in the index by service. */
  setBackendServer(
    row: GossipRow,
    server: Pick<GossipRow, 'service' | 'backendVersion' | 'serverRevision'>,
  ): void {
    const changed = row;
    this.#removeFromService(changed);
    changed.service = server.service;
    changed.backendVersion = server.backendVersion;
    changed.serverRevision = server.serverRevision;
    this.#addToService(changed);
    this.rows.touch();
  }

  /** Takes over a state of a known incarnation, as `merge` does for whole rows. */
  mergeState(id: string, incarnation: number, refutation: number, state: MemberState): boolean {
    const known = this.rows.get(id);
    if (!known || id === this.selfId || known.incarnation !== incarnation) return false;
    return this.#mergeKnown(known, { ...known, refutation, state });
  }

  /** Changes the state of a row and its place in the index of live members. */
  setState(row: GossipRow, state: MemberState): void {
    const changed = row;
    if (changed.state !== state) changed.stateChangedAtMs = monotonicNowMs();
    changed.state = state;
    if (isLiveState(state)) this.#addLive(changed);
    else this.#removeLive(changed);
    this.rows.touch();
  }

  /** Removes dead and left rows after their retention and keeps their incarnation. */
  expire(nowMs: number): void {
    for (const row of [...this.rows.rows()]) {
      const retentionMs = row.state === MemberState.Left ? leftRetentionMs : deadRetentionMs;
      if (!isLiveState(row.state) && nowMs - row.stateChangedAtMs > retentionMs) {
        this.#tombstones.set(row.id, {
          announcedIncarnation: row.announcedIncarnation,
          incarnation: row.incarnation,
          refutation: row.refutation,
          configVersion: row.configVersion,
          removedAtMs: nowMs,
        });
        this.#remove(row);
      }
    }
    for (const [id, tombstone] of this.#tombstones) {
      if (nowMs - tombstone.removedAtMs > tombstoneRetentionMs) this.#tombstones.delete(id);
    }
  }

  #insert(row: GossipRow): void {
    this.rows.set(row.id, row);
    this.#addToService(row);
    if (isLiveState(row.state)) this.#addLive(row);
  }

  #remove(row: GossipRow): void {
    this.rows.delete(row.id);
    this.#removeFromService(row);
    this.#removeLive(row);
  }

  #addToService(row: GossipRow): void {
    const rows = this.#byService.get(row.service) ?? [];
    const position = rows.findIndex((other) => other.id > row.id);
    rows.splice(position < 0 ? rows.length : position, 0, row);
    this.#byService.set(row.service, rows);
  }

  #removeFromService(row: GossipRow): void {
    const rows = this.#byService.get(row.service) ?? [];
    const position = rows.indexOf(row);
    if (position >= 0) rows.splice(position, 1);
    if (rows.length === 0) this.#byService.delete(row.service);
  }

  #addLive(row: GossipRow): void {
    if (this.#livePositions.has(row.id)) return;
    this.#livePositions.set(row.id, this.#live.length);
    this.#live.push(row);
  }

  #removeLive(row: GossipRow): void {
    const position = this.#livePositions.get(row.id);
    if (position === undefined) return;
    this.#livePositions.delete(row.id);
    const last = this.#live.pop();
    if (last && last.id !== row.id) {
      this.#live[position] = last;
      this.#livePositions.set(last.id, position);
    }
  }
}
