import type { DataCentreState, Priority } from './enums.js';
import type { ClientAccount } from './mesh.js';

/** Settings of one service, as the operators want them. */
export interface ServiceIntent {
  readonly name: string;
  readonly priority: Priority;
  readonly stableVersion: string;
  /** Calls that one backend server runs at a time. */
  readonly slots: number;
  readonly connectionsMax: number;
  readonly failureLimitPercent: number;
  readonly latencyLimitMs: number;
}

/** One route: the calls it matches and how they may be handled. */
export interface RouteIntent {
  readonly name: string;
  readonly service: string;
  /** Upper-case HTTP method. */
  readonly method: string;
  /** Path such as `/tabs/*`; `*` at the end matches any rest, `:name` matches one segment. */
  readonly path: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly retryBudgetPercent: number;
  /** Whether requests need no key of a client account; they need one if left out. */
  readonly isPublic?: boolean;
}

/** State and ramp of one data centre, as the operators want them. */
export interface DataCentreIntent {
  readonly name: string;
  readonly region: string;
  readonly state: DataCentreState;
  /** Time over which a restored data centre ramps up to its full share of the calls. */
  readonly rampS: number;
  /** Time at which `state` last changed; set when the configuration is accepted. */
  readonly changedAtUnixMs: number;
}

/** Moves the traffic of a service from one backend version to another. */
export interface MoveIntent {
  readonly id: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly startAtUnixMs: number;
  readonly finishByUnixMs: number;
  readonly unprovenCapPercent: number;
}

/** Service-level objective of a service. */
export interface ObjectiveIntent {
  readonly service: string;
  readonly targetPercent: number;
  readonly latencyMs: number;
  readonly windowDays: number;
}

/** Entry of the route index that every node holds. */
export interface RouteIndexEntry {
  readonly name: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/** Section `mesh`: the data centres and the client accounts. */
export interface MeshSection {
  readonly dataCentres: readonly DataCentreIntent[];
  /** Client accounts; left out if there are none, so that requests need no key. */
  readonly accounts?: readonly ClientAccount[];
}

/** One section of the route index: the routes of the services whose names hash to it. */
export interface RoutesSection {
  readonly routeIndex: readonly RouteIndexEntry[];
}

/**
 * Part of the configuration that every node holds completely: the data centres, the client accounts and
 * the route index, sorted by route name.
 */
export interface MeshTopology extends MeshSection, RoutesSection {}

/** Section of one service: the service with its routes, moves and objective. */
export interface ServiceSection {
  readonly service: ServiceIntent;
  readonly routes: readonly RouteIntent[];
  readonly moves: readonly MoveIntent[];
  readonly objective?: ObjectiveIntent;
}

/** A complete, validated configuration that is not yet accepted. */
export interface Configuration {
  readonly mesh: MeshTopology;
  readonly services: ReadonlyMap<string, ServiceSection>;
}

/**
 * Maps each section name (`mesh`, one of the route index, or a service) to the SHA-256 digest (hex)
 * of its body.
 */
export interface Manifest {
  readonly configVersion: number;
  readonly sections: Readonly<Record<string, string>>;
}

/** The only record that identifies the accepted configuration. */
export interface HeadRecord {
  readonly configVersion: number;
  readonly manifestDigest: string;
  readonly operationId: string;
  readonly acceptedAtUnixMs: number;
  readonly author: string;
}

/** Active configuration of one node; immutable and replaced as a whole. */
export interface Snapshot {
  readonly configVersion: number;
  readonly manifestDigest: string;
  readonly mesh: MeshTopology;
  readonly services: ReadonlyMap<string, ServiceSection>;
}
