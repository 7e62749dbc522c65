import { Table, monotonicNowMs } from '@sequoiafield/tables';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';
import { comparePrecedence, isLiveState, latestDeparted, type GossipRow } from './gossip-row.js';
import { hashText32 } from './hash.js';

/** State that a node knows of a member, without its addresses. */
export type KnownMemberState = Pick<
  GossipRow,
  'announcedIncarnation' | 'incarnation' | 'refutation' | 'state'
>;

/** Which members and incarnations a node knows, in a form that can be compared. */
export interface KnownMembersSummary {
  readonly count: number;
  readonly hash: number;
}

interface Tombstone {
  readonly announcedIncarnation: number;
  readonly incarnation: number;
  readonly refutation: number;
  readonly configVersion: number;
  readonly removedAtMs: number;
}

const hourMs = 3_600_000;
/** Dead rows are kept long enough that a region cut off for hours is still probed. */
const deadRetentionMs = 24 * hourMs;
const leftRetentionMs = 10 * 60_000;
/** Longer than any rumour circulates. */
const tombstoneRetentionMs = 48 * hourMs;

const identityHash = ({ id, announcedIncarnation }: GossipRow): number =>
  hashText32(`${id} ${announcedIncarnation}`);

/**
 * Table of the members that this node knows, indexed by service and by liveness.
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

  #identitiesHash = 0;

  readonly #tombstones = new Map<string, Tombstone>();

  constructor(readonly self: GossipRow) {
    this.#insert(self);
  }

  get selfId(): string {
    return this.self.id;
  }

  revision(): number {
    return this.rows.revision;
  }

  fleetSize(): number {
    return this.#live.length;
  }

  /** Summarizes the known members in any state. */
  summary(): KnownMembersSummary {
    return { count: this.rows.size, hash: this.#identitiesHash >>> 0 };
  }

  /** Raises the announced incarnation of the own row. */
  raiseOwnIncarnation(announcedIncarnation: number): void {
    this.#identitiesHash ^= identityHash(this.self);
    this.self.announcedIncarnation = announcedIncarnation;
    this.#identitiesHash ^= identityHash(this.self);
  }

  /** Returns the live members, this node included, in no order; valid until the next change. */
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

  /** Returns the last known state of an id, for sending it to that member; undefined if unknown. */
  knownState(id: string): KnownMemberState | undefined {
    const row = this.rows.get(id);
    if (row) return row;
    const tombstone = this.#tombstones.get(id);
    return tombstone && { ...tombstone, state: MemberState.Dead };
  }

  /** Returns the highest configuration version received for any incarnation of an id. */
  highestKnownConfigVersion(id: string): number {
    return this.rows.get(id)?.configVersion ?? this.#tombstones.get(id)?.configVersion ?? 0;
  }

  /**
   * Merges a row of another node if it is newer; returns whether anything changed.
   * Suspicion and death of a known member are not merged: each node concludes them from the reports
   * of observers, so that outdated states from a healed partition evict no member.
   */
  merge(received: GossipRow): boolean {
    if (received.id === this.selfId) return false;
    const known = this.rows.get(received.id);
    if (known) return this.#mergeKnown(known, received);
    const tombstone = this.#tombstones.get(received.id);
    if (tombstone && comparePrecedence({ ...tombstone, state: MemberState.Dead }, received) >= 0) {
      return false;
    }
    const state = received.state === MemberState.Suspect ? MemberState.Alive : received.state;
    this.#insert({
      ...received,
      state,
      configVersion: Math.max(received.configVersion, tombstone?.configVersion ?? 0),
      stateChangedAtMs: monotonicNowMs(),
    });
    this.#tombstones.delete(received.id);
    return true;
  }

  #mergeKnown(known: GossipRow, received: GossipRow): boolean {
    const row = known;
    if (received.configVersion > row.configVersion) row.configVersion = received.configVersion;
    const hasDeparted = this.#mergeDepartedServer(row, received);
    const hasServerChanged = this.#mergeBackendServer(row, received) || hasDeparted;
    if (comparePrecedence(received, known) <= 0) return hasServerChanged;
    const differsOnlyInState =
      received.announcedIncarnation === known.announcedIncarnation &&
      received.incarnation === known.incarnation &&
      received.refutation === known.refutation;
    const isSuspectOrDead =
      received.state === MemberState.Suspect || received.state === MemberState.Dead;
    if (differsOnlyInState && isSuspectOrDead) return hasServerChanged;
    const state = received.state === MemberState.Suspect ? MemberState.Alive : received.state;
    const isSameIncarnation = received.incarnation === known.incarnation;
    if (!isSameIncarnation || received.announcedIncarnation > known.announcedIncarnation) {
      this.#remove(known);
      this.#insert({
        ...received,
        state,
        configVersion: row.configVersion,
        departedServer: row.departedServer,
        stateChangedAtMs: monotonicNowMs(),
      });
      return true;
    }
    row.refutation = received.refutation;
    this.setState(row, state);
    return true;
  }

  /** Merges the backend server, which may change within an incarnation of the node. */
  #mergeBackendServer(row: GossipRow, received: GossipRow): boolean {
    if (received.incarnation !== row.incarnation) return false;
    if (received.serverRevision <= row.serverRevision) return false;
    this.setBackendServer(row, received);
    return true;
  }

  /** Merges the departed server, which binds every later incarnation of the node as well. */
  #mergeDepartedServer(row: GossipRow, received: GossipRow): boolean {
    const departed = latestDeparted(row.departedServer, received.departedServer);
    if (departed === row.departedServer) return false;
    const changed = row;
    changed.departedServer = departed;
    this.rows.touch();
    return true;
  }

  /**
   * Merges what another node knows of the own row: the server that left a former process. Returns
   * whether anything changed.
   */
  mergeOwn(received: GossipRow): boolean {
    return this.#mergeDepartedServer(this.self, received);
  }

  /** Changes the backend server of a row and updates the index by service. */
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

  /** Merges a state of a known incarnation, as `merge` does for whole rows. */
  mergeState(id: string, incarnation: number, refutation: number, state: MemberState): boolean {
    const known = this.rows.get(id);
    if (!known || id === this.selfId || known.incarnation !== incarnation) return false;
    return this.#mergeKnown(known, { ...known, refutation, state });
  }

  /** Changes the state of a row and updates the index of live members. */
  setState(row: GossipRow, state: MemberState): void {
    const changed = row;
    if (changed.state !== state) changed.stateChangedAtMs = monotonicNowMs();
    changed.state = state;
    if (isLiveState(state)) this.#addLive(changed);
    else this.#removeLive(changed);
    this.rows.touch();
  }

  /** Replaces dead and left rows by tombstones after their retention; removes old tombstones. */
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
    this.#identitiesHash ^= identityHash(row);
    this.#addToService(row);
    if (isLiveState(row.state)) this.#addLive(row);
  }

  #remove(row: GossipRow): void {
    this.rows.delete(row.id);
    this.#identitiesHash ^= identityHash(row);
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
