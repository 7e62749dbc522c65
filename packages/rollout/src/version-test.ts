import type { ServiceIntent } from '@sequoiafield/types';
import type { RouteBlock } from './evidence-blocks.js';

/** Kind of bad calls that count against a version. */
export enum EvidenceKind {
  Failures = 'failures',
  Slow = 'slow calls',
  Unanswered = 'unanswered attempts',
}

/** Reason to roll back a move. */
export interface RollbackFinding {
  readonly route: string;
  readonly kind: EvidenceKind;
  readonly reason: string;
  /** True if the old version had no traffic in the same period that would show a general outage. */
  readonly needsOutageCheck: boolean;
}

/** Decides whether the new version of a move is worse; replaced in tests and by the baseline. */
export interface VersionTest {
  /** Adds the evidence of one period; called at most once each second. */
  observe(blocks: ReadonlyMap<string, RouteBlock>): void;
  /** Returns the first reason to roll back, or undefined while there is none. */
  finding(): RollbackFinding | undefined;
  /** Natural logarithm of the strongest evidence against the new version; 0 without evidence. */
  logEvidenceAgainst(): number;
  /** Resets `stageExcessFailures` to 0. */
  beginStage(): void;
  /**
   * Failures of the new version at this stage beyond those expected at the old version's rate,
   * without those of faulty backend servers.
   */
  stageExcessFailures(): number;
  /** Ids of backend servers whose failures are caused by the server rather than by the version. */
  faultyServers(): ReadonlySet<string>;
  /** Discards the evidence collected without old-version traffic, after a general outage. */
  discardUncomparedEvidence(): void;
}

/** Creates the test of one move. */
export type VersionTestFactory = (
  service: ServiceIntent,
  routeCount: number,
  judgeCount: number,
) => VersionTest;
