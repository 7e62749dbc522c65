import type { CallOpen, CallRefusal, CancelSignal, LoadReport } from './calls.js';
import type { RouteIntent, ServiceIntent, Snapshot } from './configuration.js';
import type { MoveVerdict, RefusalReason } from './enums.js';
import type { MemberRow } from './members.js';

/** Read access to the configuration in force. */
export interface SnapshotView {
  /** The snapshot in force, or undefined before the first one. */
  current(): Snapshot | undefined;
  /** True once the join floor is known and reached, and the view is not stale. */
  isServing(): boolean;
  /** Asks for the section of a service that this node does not hold yet. */
  requestSection(service: string): void;
}

/** State of a move as every node sees it. */
export interface MoveStatus {
  readonly moveId: string;
  readonly verdict: MoveVerdict;
  readonly reason: string;
  /** Share of the new version now, 0 to 100. */
  readonly sharePercent: number;
  readonly provenStage: number;
}

/** Read access to the moves, for callers and receiving nodes. */
export interface RolloutView {
  /** Backend version of one new call; `roll` is uniform in [0, 1), and 1 gives the old version. */
  chooseVersion(service: string, roll: number): string | undefined;
  /** Whether a version may get new work at all now. */
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
  /** Called by the receiving node when a call ended on its own backend server. */
  recordEnded(evidence: CallEvidence): void;
  /**
   * Called by the calling node when an attempt got no answer in time. `memberId` is the node beside
   * the backend server that it was sent to.
   */
  recordUnanswered(service: string, route: string, backendVersion: string, memberId: string): void;
}

/** What the call path needs of a route. */
export type CalledRoute = Pick<
  RouteIntent,
  'name' | 'isIdempotent' | 'deadlineMs' | 'retryBudgetPercent'
> & {
  /** Backend servers that one call may be sent to; by the retry policy if left out. */
  readonly attemptsMax?: number;
};

/** What the call path needs of a service. */
export type CalledService = Pick<ServiceIntent, 'name' | 'priority' | 'stableVersion'>;

/** Result of matching a call with the configuration in force. */
export interface RouteMatch {
  readonly route: CalledRoute;
  readonly service: CalledService;
}

/** What the caller's side learns from one attempt. */
export interface AttemptReport {
  readonly memberId: string;
  readonly service: string;
  readonly route?: string;
  readonly hasFailed: boolean;
  readonly latencyMs: number;
  readonly refusalReason?: RefusalReason;
  /** Time after which the refusing member expects room; left out if it named none. */
  readonly retryAfterMs?: number;
  readonly load?: LoadReport;
  /** Bytes of the request's and the answer's body; left out if unknown. */
  readonly bodyBytes?: number;
}

/** Matches routes and chooses the backend server of each attempt. */
export interface Router {
  match(method: string, path: string, host: string): RouteMatch | undefined;
  /**
   * Chooses a member, or undefined if none is left or all have just refused a call of the route for
   * want of room; `triedIds` are skipped if others exist.
   */
  choose(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
    route?: string,
  ): MemberRow | undefined;
  /** Time until a member expects room for the route, if all that are known refused for want of it. */
  retryAfterMs?(service: string, backendVersion: string, route: string): number | undefined;
  /** Marks an attempt as started on a member, so that its load counts at once. */
  begin(memberId: string): void;
  report(report: AttemptReport): void;
  /** Counts a first attempt towards the service's retry budget. */
  recordFirstAttempt(service: string): void;
  /** Takes one retry from the service's budget; false if the budget is spent. */
  takeRetry(service: string, budgetPercent: number): boolean;
}

/** Permission to run one call on the backend server; `release` must be called once it ended. */
export interface Permit {
  release(result: {
    readonly hasFailed: boolean;
    readonly latencyMs: number;
    /** The backend server refused it without running it. */
    readonly wasShed?: boolean;
  }): void;
}

/** Result of asking for admission. */
export type AdmissionResult =
  | { readonly kind: 'permit'; readonly permit: Permit }
  | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** Admission of calls beside one backend server. */
export interface Admission {
  /** `deadlineAtMs` is on this node's monotonic clock. */
  admit(open: CallOpen, deadlineAtMs: number, signal: CancelSignal): Promise<AdmissionResult>;
  load(): LoadReport;
}

/** Calls of a service over the last few seconds, as all nodes beside its backend servers saw them. */
export interface ObservedShare {
  /** Calls that callers sent to the new version, those refused over the share included. */
  readonly offeredCalls: number;
  /** Calls to the old and the new version; a call refused over the share counts where it went next. */
  readonly allCalls: number;
}

/** Share of a service's calls that callers send to a new backend version, where this node knows it. */
export interface ShareTracker {
  /** Recent counts of all nodes, or undefined without them. */
  observedShare(service: string, backendVersion: string): ObservedShare | undefined;
  /** Counts a call that arrived at the backend server beside this node. */
  recordOffered(service: string, backendVersion: string): void;
  /** Counts a call that arrived and was refused over the share. */
  recordOverShare(service: string, backendVersion: string): void;
}
