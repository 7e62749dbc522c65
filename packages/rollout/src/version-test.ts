import type { ServiceIntent } from '@sequoiafield/types';
import type { RouteBlock } from './evidence-blocks.js';

/** What counts against a version. */
export enum EvidenceKind {
  Failures = 'failures',
  Slow = 'slow calls',
  Unanswered = 'unanswered attempts',
}

/** A reason to take a move back. */
export interface RollbackFinding {
  readonly route: string;
  readonly kind: EvidenceKind;
  readonly reason: string;
  /** True if no old-version traffic of the same period speaks for or against a general outage. */
  readonly needsOutageCheck: boolean;
}

/** Decides whether the new version of a move is worse; replaced in tests and by the baseline. */
export interface VersionTest {
  /** Takes the evidence of one period, at most once each second. */
  observe(blocks: ReadonlyMap<string, RouteBlock>): void;
  finding(): RollbackFinding | undefined;
  /** Natural logarithm of the strongest evidence against the new version; 0 says nothing. */
  logEvidenceAgainst(): number;
  /** Starts to count `stageExcessFailures` anew. */
  beginStage(): void;
  /**
   * Failures of the new version at this stage beyond what the old version's rate explains, without
   * those of faulty backend servers.
   */
  stageExcessFailures(): number;
  /** Backend servers whose failures are their own fault rather than that of the version. */
  faultyServers(): ReadonlySet<string>;
  /** Drops what was gathered without old-version traffic, after a general outage was recognised. */
  discardUncomparedEvidence(): void;
}

/** Creates the test of one move. */
export type VersionTestFactory = (
  service: ServiceIntent,
  routeCount: number,
  judgeCount: number,
) => VersionTest;
