/** Part of a route's requests that goes to one service. */
export interface WeightedDestination {
  readonly service: string;
  /** Share in proportion to the weights of the route's other destinations. */
  readonly weight: number;
}

/** Route of a host; the longest prefix that begins the path wins. */
export interface HostRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  /** Backend servers that one request may be sent to. */
  readonly attemptsMax: number;
  /** Time within which an answer is worth most to its caller. */
  readonly targetLatencyMs: number;
  /** Rank under overload; 0 is the most important. */
  readonly rank: number;
  readonly destinations: readonly WeightedDestination[];
}

/** What operators say about the backend servers of a service. */
export interface MeshService {
  readonly name: string;
  readonly connectionsMax: number;
  /** Time for which a backend server stays cold after it started. */
  readonly coldStartMs: number;
  /** Requests a second that a cold backend server handles. */
  readonly coldRequestsPerS: number;
}

/** What a client's connection may send, and how long it may take or stay idle. */
export interface ClientLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Configuration of the mesh as the operators accepted it. */
export interface MeshConfiguration {
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: ReadonlyMap<string, MeshService>;
  readonly limits: ClientLimits;
}

/** Order to move a service's traffic to another backend version. */
export interface MoveOrder {
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
  /** Revision of the store at which the order was written; names the order. */
  readonly revision: number;
}

/** Outcome of a move as the operators read it. */
export enum MoveOutcome {
  Running = 'running',
  Completed = 'completed',
  RolledBack = 'rolled-back',
}

/** Last known outcome of a move of a service. */
export interface MoveRecord {
  readonly service: string;
  readonly toVersion: string;
  readonly outcome: MoveOutcome;
  /** Revision of the store at which the record was written. */
  readonly revision: number;
}

/** State of a backend server by its own word. */
export enum BackendServerState {
  Ready = 'ready',
  Draining = 'draining',
}

/** What a backend server says of itself with each heartbeat. */
export interface BackendHeartbeat {
  readonly instanceId: string;
  /** Start of the incarnation; a later one replaces an earlier one. */
  readonly bornAtUnixMs: number;
  /** Rises with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** IP address and port. */
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly version: string;
  /** Requests that it runs at a time. */
  readonly slots: number;
  readonly state: BackendServerState;
  /** How much longer it is cold; 0 if it is warm. */
  readonly coldRemainingMs: number;
}

/** Word of a backend server that it leaves without draining first. */
export interface BackendDeregistration {
  readonly instanceId: string;
  /** Undefined where the server does not say it. */
  readonly bornAtUnixMs: number | undefined;
}

/** Operators' orders, decoded; immutable and swapped in as a whole. */
export interface MeshOrders {
  /** Revision of the store that the orders are complete up to. */
  readonly storeRevision: number;
  readonly configuration: MeshConfiguration | undefined;
  /** By service. */
  readonly moves: ReadonlyMap<string, MoveOrder>;
  /** Outcomes that were in the store, by service. */
  readonly moveRecords: ReadonlyMap<string, MoveRecord>;
  readonly evacuatedDataCentres: ReadonlySet<string>;
}

/** Read access to the orders in force. */
export interface OrdersView {
  current(): MeshOrders;
}
