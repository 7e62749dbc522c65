/**
 * State of a member, as known to this node; within one incarnation the higher rank (number) wins.
 */
export enum MemberState {
  Joining = 0,
  Alive = 1,
  Suspect = 2,
  Draining = 3,
  Left = 4,
  Dead = 5,
}

/** Returns whether a member in this state may get new work; a suspected member may still serve. */
export const takesNewWork = (state: MemberState): boolean =>
  state === MemberState.Alive || state === MemberState.Suspect;

/** Whether a data centre takes new work, as set by the operators. */
export enum DataCentreState {
  InService = 'in',
  Evacuated = 'out',
}

/** Order in which calls are kept under overload; a lower number is more important. */
export enum Priority {
  Critical = 0,
  High = 1,
  Normal = 2,
  Low = 3,
}

/** Whether a refused call may have run; `NotRun` is reported only if it certainly did not. */
export enum RefusalOutcome {
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Why a call was refused. */
export enum RefusalReason {
  NoRoute = 'no-route',
  NoBackendServer = 'no-backend-server',
  NotReady = 'not-ready',
  StaleView = 'stale-view',
  Draining = 'draining',
  DataCentreEvacuated = 'data-centre-out',
  QueueFull = 'queue-full',
  ServerBusy = 'server-busy',
  DeadlineUnreachable = 'deadline-hopeless',
  DeadlinePassed = 'deadline-passed',
  DuplicateAttempt = 'duplicate-attempt',
  WrongIncarnation = 'wrong-incarnation',
  VersionRolledBack = 'version-taken-back',
  VersionOverShare = 'version-over-share',
  WrongVersion = 'wrong-version',
  RetryBudgetSpent = 'retry-budget-spent',
  BodyTooLarge = 'body-too-large',
  ConnectFailed = 'connect-failed',
  LinkLost = 'link-lost',
  Cancelled = 'cancelled',
  BackendServerFailed = 'backend-server-failed',
  BackendServerRefused = 'backend-server-refused',
  WrongServer = 'wrong-server',
  ColdServer = 'cold-server',
  UnknownKey = 'unknown-key',
}

/** Verdict on a move; `RolledBack` is final and spreads without the store. */
export enum MoveVerdict {
  Undecided = 'undecided',
  Done = 'done',
  RolledBack = 'taken back',
}

/** Kinds of monotone registers that gossip spreads; the entry with the highest rank wins. */
export enum RegisterKind {
  Head = 1,
  Stage = 2,
  Verdict = 3,
}

/** Kinds of datagrams and link requests that packages exchange with one member. */
export enum DirectMessageKind {
  Evidence = 1,
  CallerEvidence = 2,
  ShareTotals = 3,
  MoveEvidence = 4,
  WatchTakeover = 5,
}

/** Kinds of request and answer exchanges over a link, apart from calls. */
export enum LinkRequestKind {
  ManifestDelta = 1,
  Sections = 2,
  MemberDigests = 3,
  MemberRows = 4,
  FleetQuery = 5,
  MinimumVersion = 6,
  Orders = 7,
  /** Counts of requests that a node sends to a collector of its data centre. */
  UsageCounts = 8,
  /** Sum of the counts that a collector holds. */
  UsageSum = 9,
  /** Sum of the counts of a data centre. */
  UsageDataCentreSum = 10,
}

/**
 * Kinds of fleet queries; every node answers a query, and the answers are merged on the way back.
 */
export enum FleetQueryKind {
  ActiveVersion = 1,
  Moves = 2,
  BurnWindows = 3,
}
