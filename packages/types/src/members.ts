import type { MemberState, RegisterKind, FleetQueryKind, DirectMessageKind } from './enums.js';

/** What a node announces about itself. */
export interface MemberAnnouncement {
  /** Instance id from the settings, unique in the fleet. */
  readonly id: string;
  /**
   * Start time of the process in Unix ms; lower than that of the former process if the clock
   * is behind that process's clock.
   */
  readonly incarnation: number;
  readonly address: string;
  readonly gossipPort: number;
  readonly linkPort: number;
  readonly callPort: number;
  readonly region: string;
  readonly dataCentre: string;
  /**
   * Service of the backend server beside the node; empty while no backend server there takes new
   * work.
   */
  readonly service: string;
  readonly backendVersion: string;
  /**
   * Increases whenever `service` or `backendVersion` changes within an incarnation; 0 if left out.
   */
  readonly serverRevision?: number;
}

/** Incarnation of a backend server that announced its leaving; it never gets new work again. */
export interface DepartedServer {
  readonly instanceId: string;
  /** Start of the server, Unix ms. */
  readonly bornAtUnixMs: number;
}

/** Row of the members table. */
export interface MemberRow extends MemberAnnouncement {
  state: MemberState;
  /** Highest configuration version known to be active on this member; 0 if none is known. */
  configVersion: number;
  stateChangedAtMs: number;
}

/** Read access to the members table. */
export interface MemberView {
  readonly selfId: string;
  /** Returns a number that increases with each change of a member's state or backend server. */
  revision(): number;
  /** Returns the number of live members, including this node. */
  fleetSize(): number;
  get(id: string): MemberRow | undefined;
  all(): Iterable<MemberRow>;
  /** Returns the members of a service in any state, in the order of their ids. */
  ofService(service: string): readonly MemberRow[];
}

/** Entry of a monotone register; the entry with the highest rank of a key wins. */
export interface RegisterEntry {
  readonly kind: RegisterKind;
  readonly key: string;
  readonly rank: number;
  /** Body that `msgpackr` can encode, at most a few hundred bytes. */
  readonly body: unknown;
}

/** Spreads monotone registers to every node. */
export interface RegisterGossip {
  /** Stores and spreads the entry if its rank is the highest so far; returns whether it was. */
  publish(entry: RegisterEntry): boolean;
  read(kind: RegisterKind, key: string): RegisterEntry | undefined;
  /**
   * Calls the handler once for each entry that raised its register, including this node's own
   * entries.
   */
  subscribe(kind: RegisterKind, handler: (entry: RegisterEntry, fromId: string) => void): void;
}

/** Sends single datagrams to one member; delivery is not guaranteed. */
export interface DirectMessenger {
  send(memberId: string, kind: DirectMessageKind, body: unknown): void;
  subscribe(kind: DirectMessageKind, handler: (body: unknown, fromId: string) => void): void;
}

/** Merged answer of a fleet query. */
export interface FleetAnswer<T> {
  readonly answered: number;
  readonly total: number;
  /** Ids of nodes that did not answer; at most 100. */
  readonly missingIds: readonly string[];
  readonly value: T | undefined;
}

/** Answers a fleet query locally and merges two answers. */
export interface FleetQueryHandler<P, T> {
  answer(params: P): T;
  merge(left: T, right: T): T;
}

/** Sends a query to every node through a tree of delegates. */
export interface FleetQuery {
  register<P, T>(kind: FleetQueryKind, handler: FleetQueryHandler<P, T>): void;
  ask<P, T>(kind: FleetQueryKind, params: P, timeoutMs: number): Promise<FleetAnswer<T>>;
}
