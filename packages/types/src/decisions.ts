import type { CallOpen, CallRefusal, CancelSignal, LoadReport } from './calls.js';
import type { RouteIntent, ServiceIntent, Snapshot } from './configuration.js';
import type { MoveVerdict, RefusalReason } from './enums.js';
import type { MemberRow } from './members.js';
import type { CapacityMode } from './mesh.js';

/** Read access to the active configuration. */
export interface SnapshotView {
  /** Returns the active snapshot, or undefined before the first one. */
  current(): Snapshot | undefined;
  /**
   * Returns true once the minimum version that this node may serve is known and reached, and the view
   * is not stale.
   */
  isServing(): boolean;
  /** Requests the section of a service that this node does not hold yet. */
  requestSection(service: string): void;
}

/** State of a move, as known to this node. */
export interface MoveStatus {
  readonly moveId: string;
  readonly verdict: MoveVerdict;
  readonly reason: string;
  /** Current share of the new version, 0 to 100. */
  readonly sharePercent: number;
  readonly provenStage: number;
}

/** Read access to the moves, for callers and receiving nodes. */
export interface RolloutView {
  /**
   * Chooses the backend version of one new call; `roll` is uniform in [0, 1), and 1 gives the old
   * version.
   */
  chooseVersion(service: string, roll: number): string | undefined;
  /** Returns whether a version may currently get new work. */
  isAllowed(service: string, backendVersion: string): boolean;
  statuses(): readonly MoveStatus[];
}

/** Outcome of one call that ended on the backend server beside this node. */
export interface CallEvidence {
  readonly service: string;
  readonly route: string;
  readonly backendVersion: string;
  readonly hasFailed: boolean;
  readonly latencyMs: number;
  /** Status of the answer; 0 or left out if there was none. */
  readonly status?: number;
}

/** Counts outcomes of calls for the verdicts on moves. */
export interface EvidenceRecorder {
  /**
   * Records a call that ended on the backend server beside this node; called by the receiving node.
   */
  recordEnded(evidence: CallEvidence): void;
  /**
   * Records an attempt that got no answer in time; called by the calling node. `memberId` is the
   * node beside the backend server that the attempt was sent to.
   */
  recordUnanswered(service: string, route: string, backendVersion: string, memberId: string): void;
}

/** Fields of a route that the call path uses. */
export type CalledRoute = Pick<
  RouteIntent,
  'name' | 'isIdempotent' | 'deadlineMs' | 'retryBudgetPercent'
> & {
  /**
   * Maximum number of backend servers that one call may be sent to; the retry policy decides if left
   * out.
   */
  readonly attemptsMax?: number;
  /** Whether requests have large bodies; false if left out. */
  readonly hasLargeBodies?: boolean;
  /** Time within which most answers of the route are due; its deadline if left out. */
  readonly targetLatencyMs?: number;
  /** Whether requests need no key of a client account; they need one if left out. */
  readonly isPublic?: boolean;
};

/** Fields of a service that the call path uses. */
export type CalledService = Pick<ServiceIntent, 'name' | 'priority' | 'stableVersion'> & {
  /** How the nodes beside the servers of the service admit calls; `Declared` if left out. */
  readonly capacityMode?: CapacityMode;
};

/** Result of matching a call with the active configuration. */
export interface RouteMatch {
  readonly route: CalledRoute;
  readonly service: CalledService;
}

/** Outcome of one attempt, as observed by the calling node. */
export interface AttemptReport {
  readonly memberId: string;
  readonly service: string;
  readonly route?: string;
  readonly hasFailed: boolean;
  readonly latencyMs: number;
  readonly refusalReason?: RefusalReason;
  /** Time after which the refusing member expects free capacity; left out if it reported none. */
  readonly retryAfterMs?: number;
  readonly load?: LoadReport;
  /** Bytes of the request's and the answer's body; left out if unknown. */
  readonly bodyBytes?: number;
}

/** Matches routes and chooses the backend server of each attempt. */
export interface Router {
  match(method: string, path: string, host: string): RouteMatch | undefined;
  /** Whether a request may run twice; unlike `match`, it does not count towards the route's weights. */
  isIdempotent?(path: string, host: string): boolean;
  /**
   * Chooses a member for an attempt; returns undefined if no member is left or all have just refused
   * a call of the route for lack of capacity. Members in `triedIds` are skipped if others exist.
   */
  choose(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
    route?: string,
    /** Whether members that just refused calls of the route for lack of capacity are chosen too. */
    mayBeLate?: boolean,
  ): MemberRow | undefined;
  /**
   * Returns the time until a member expects capacity for the route, if all known members refused
   * for lack of it.
   */
  retryAfterMs?(service: string, backendVersion: string, route: string): number | undefined;
  /**
   * Whether the member may have a free slot for a call of the service; the call is then sent with the
   * request not to wait. Left out by routers whose members always queue.
   */
  mayHaveFreeSlot?(service: string, member: MemberRow): boolean;
  /** Marks an attempt as started on a member, so that its load counts immediately. */
  begin(memberId: string): void;
  report(report: AttemptReport): void;
  /** Counts a first attempt towards the service's retry budget. */
  recordFirstAttempt(service: string): void;
  /** Takes one retry from the service's budget; returns false if the budget is spent. */
  takeRetry(service: string, budgetPercent: number): boolean;
}

/**
 * Permission to run one call on the backend server; `release` must be called once the call ended.
 */
export interface Permit {
  release(result: {
    readonly hasFailed: boolean;
    readonly latencyMs: number;
    /** Whether the backend server refused the call without running it. */
    readonly wasShed?: boolean;
    /** Whether the backend server sent an answer; by default, whether the call did not fail. */
    readonly wasAnswered?: boolean;
  }): void;
}

/** Result of an admission request. */
export type AdmissionResult =
  | { readonly kind: 'permit'; readonly permit: Permit }
  | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** Admission of calls beside one backend server. */
export interface Admission {
  /** Admits or refuses a call; `deadlineAtMs` is on this node's monotonic clock. */
  admit(open: CallOpen, deadlineAtMs: number, signal: CancelSignal): Promise<AdmissionResult>;
  /**
   * Returns the refusal of a call that cannot run now, so that its large body need not be received; the
   * call is still admitted by `admit` after that.
   */
  refuseEarly?(open: CallOpen): CallRefusal | undefined;
  load(): LoadReport;
}

/**
 * Calls of a service over the last few seconds, counted by all nodes beside its backend servers.
 */
export interface ObservedShare {
  /**
   * Calls that callers sent to the new version, including those refused because they exceeded the
   * share.
   */
  readonly offeredCalls: number;
  /**
   * Calls to the old and the new version; a call refused because it exceeded the share counts where
   * it is sent next.
   */
  readonly allCalls: number;
}

/**
 * Tracks the share of a service's calls that callers send to a new backend version, as far as this
 * node knows it.
 */
export interface ShareTracker {
  /** Returns the recent counts of all nodes, or undefined if there are none. */
  observedShare(service: string, backendVersion: string): ObservedShare | undefined;
  /** Counts a call that arrived at the backend server beside this node. */
  recordOffered(service: string, backendVersion: string): void;
  /** Counts a call that arrived and was refused because it exceeded the share. */
  recordOverShare(service: string, backendVersion: string): void;
}
