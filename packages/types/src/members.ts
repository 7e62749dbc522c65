import type { MemberState, RegisterKind, FleetQueryKind, DirectMessageKind } from './enums.js';

/** What a node announces about itself. */
export interface MemberAnnouncement {
  /** Instance id from the settings, unique in the fleet. */
  readonly id: string;
  /** Start time of the process in Unix ms; lower than before if its clock is behind the former one's. */
  readonly incarnation: number;
  readonly address: string;
  readonly gossipPort: number;
  readonly linkPort: number;
  readonly callPort: number;
  readonly region: string;
  readonly dataCentre: string;
  /** Service of the backend server beside it; empty while there is none that takes new work. */
  readonly service: string;
  readonly backendVersion: string;
  /** Rises whenever `service` or `backendVersion` change within an incarnation; 0 if left out. */
  readonly serverRevision?: number;
}

/** Row of the members table. */
export interface MemberRow extends MemberAnnouncement {
  state: MemberState;
  /** Highest configuration version that this member was heard to have in force; 0 if none. */
  configVersion: number;
  stateChangedAtMs: number;
}

/** Read access to the members table. */
export interface MemberView {
  readonly selfId: string;
  /** Live members, this node included. */
  fleetSize(): number;
  get(id: string): MemberRow | undefined;
  all(): Iterable<MemberRow>;
  /** Members of a service in any state, in the order of their ids. */
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
  /** Stores the entry and pushes it on, if its rank is the highest yet; says whether it was. */
  publish(entry: RegisterEntry): boolean;
  read(kind: RegisterKind, key: string): RegisterEntry | undefined;
  /** Calls the handler once for each entry that raised its register, also for own ones. */
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

/** Local answer to a fleet query and how two answers are merged. */
export interface FleetQueryHandler<P, T> {
  answer(params: P): T;
  merge(left: T, right: T): T;
}

/** Asks every node a question through a tree of delegates. */
export interface FleetQuery {
  register<P, T>(kind: FleetQueryKind, handler: FleetQueryHandler<P, T>): void;
  ask<P, T>(kind: FleetQueryKind, params: P, timeoutMs: number): Promise<FleetAnswer<T>>;
}
