/** Service that receives a share of a route's requests. */
export interface WeightedDestination {
  readonly service: string;
  /** Share of the requests, in proportion to the weights of the route's other destinations. */
  readonly weight: number;
}

/** Route of a host; the route with the longest matching path prefix wins. */
export interface HostRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly isIdempotent: boolean;
  /** Whether requests need no key of a client account. */
  readonly isPublic: boolean;
  /** Whether requests have large bodies, which are streamed. */
  readonly hasLargeBodies: boolean;
  readonly timeoutMs: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly attemptsMax: number;
  /** Latency within which an answer has the most value for the caller. */
  readonly targetLatencyMs: number;
  /** Rank under overload; 0 is the most important. */
  readonly rank: number;
  readonly destinations: readonly WeightedDestination[];
}

/** How a node knows the calls that a backend server of a service takes well. */
export enum CapacityMode {
  /** The operators state the limits of a cold server; a warm one takes as many calls as its slots. */
  Declared = 'declared',
  /** The operators state no limits, so that the node beside each server learns them. */
  Learned = 'learned',
}

/** Settings of the backend servers of a service, as the operators set them. */
export interface MeshService {
  readonly name: string;
  readonly connectionsMax: number;
  readonly capacityMode: CapacityMode;
  /** Time for which a backend server stays cold after it started; 0 if the operators state none. */
  readonly coldStartMs: number;
  /** Requests per second that a cold backend server handles; undefined if there is no limit. */
  readonly coldRequestsPerS: number | undefined;
}

/** Client account whose keys give access to the routes that are not public. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of each key as hexadecimal text. */
  readonly keyHashes: readonly string[];
  /** Rank of the account's requests, which takes precedence over that of the route. */
  readonly rank?: number;
}

/** Limits of a client's connection: sizes, time to send the headers and idle time. */
export interface ClientLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Configuration of the mesh, as accepted by the operators. */
export interface MeshConfiguration {
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: ReadonlyMap<string, MeshService>;
  readonly limits: ClientLimits;
  /** Client accounts; undefined or empty if requests need no key. */
  readonly accounts?: readonly ClientAccount[];
}

/** Order to move a service's traffic to another backend version. */
export interface MoveOrder {
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
  /** Revision of the store at which the order was written; identifies the order. */
  readonly revision: number;
}

/** Outcome of a move, as shown to operators. */
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
  /** Version that the service ran before the move; undefined if the record does not name it. */
  readonly fromVersion?: string | undefined;
  /** Revision of the store at which the record was written. */
  readonly revision: number;
}

/** State that a backend server reports in its heartbeats. */
export enum BackendServerState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Content of a heartbeat of a backend server. */
export interface BackendHeartbeat {
  readonly instanceId: string;
  /** Start time of the incarnation; a later incarnation replaces an earlier one. */
  readonly bornAtUnixMs: number;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** IP address and port. */
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly version: string;
  /** Requests that the backend server runs at a time. */
  readonly slots: number;
  readonly state: BackendServerState;
  /** Remaining time for which the backend server is cold; 0 if it is warm. */
  readonly coldRemainingMs: number;
}

/** Announcement of a backend server that it leaves without draining first. */
export interface BackendDeregistration {
  readonly instanceId: string;
  /**
   * Start time of the incarnation that leaves; undefined if the backend server does not send it.
   */
  readonly bornAtUnixMs: number | undefined;
}

/** Decoded orders of the operators; immutable and replaced as a whole. */
export interface MeshOrders {
  /** Revision of the store up to which the orders are complete. */
  readonly storeRevision: number;
  /**
   * Lowest revision that the store is known to have had in its current era: entries above it were
   * written in the era, the others may belong to the copy from which the store was restored.
   */
  readonly eraStart?: number;
  /** Keys of entries that cannot be decoded; what was known of them before stays active. */
  readonly malformedKeys?: readonly string[];
  readonly configuration: MeshConfiguration | undefined;
  /** Move orders, by service. */
  readonly moves: ReadonlyMap<string, MoveOrder>;
  /** Outcomes of moves read from the store, by service. */
  readonly moveRecords: ReadonlyMap<string, MoveRecord>;
  readonly evacuatedDataCentres: ReadonlySet<string>;
}

/** Read access to the active orders. */
export interface OrdersView {
  current(): MeshOrders;
}
