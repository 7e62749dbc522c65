import {
  EvidenceKind,
  addVersionCounts,
  createVersionCounts,
  type RollbackFinding,
  type RouteBlock,
  type VersionTest,
} from '@sequoiafield/rollout';

/** Number of calls to the new version from which on the fixed threshold is checked. */
const callsMin = 10;
/**
 * A version is rolled back if a larger fraction of its calls fails or exceeds the latency limit.
 */
const badRateMax = 0.05;

/**
 * Finds that a rollback is due when the rate of bad calls to the new version exceeds a threshold.
 */
export class FixedThresholdTest implements VersionTest {
  readonly #newVersionCounts = createVersionCounts();

  observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    blocks.forEach(({ dataCentres, unanswered }) => {
      dataCentres.forEach(({ next }) => addVersionCounts(this.#newVersionCounts, next));
      addVersionCounts(this.#newVersionCounts, unanswered.next);
    });
  }

  finding(): RollbackFinding | undefined {
    const { calls, failures, overLimit } = this.#newVersionCounts;
    if (calls < callsMin || failures + overLimit <= calls * badRateMax) return undefined;
    const reason = `more than ${badRateMax * 100} % of the calls are bad`;
    return { route: '*', kind: EvidenceKind.Failures, reason, needsOutageCheck: false };
  }

  logEvidenceAgainst(): number {
    return 0;
  }

  beginStage(): void {
    // The fixed threshold does not depend on the stage.
  }

  stageExcessFailures(): number {
    return 0;
  }

  faultyServers(): ReadonlySet<string> {
    return new Set();
  }

  discardUncomparedEvidence(): void {
    // The fixed threshold compares no versions.
  }
}
