import {
  EvidenceKind,
  addVersionCounts,
  createVersionCounts,
  type RollbackFinding,
  type RouteBlock,
  type VersionTest,
} from '@sequoiafield/rollout';

/** New-version calls after which the fixed threshold is looked at. */
const callsMin = 10;
/** A version is taken back above this failure rate or part of calls over the latency limit. */
const badRateMax = 0.05;

/** Takes back when the rate over all calls of the new version passes a fixed threshold. */
export class FixedThresholdTest implements VersionTest {
  readonly #next = createVersionCounts();

  observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    blocks.forEach(({ dataCentres, unanswered }) => {
      dataCentres.forEach(({ next }) => addVersionCounts(this.#next, next));
      addVersionCounts(this.#next, unanswered.next);
    });
  }

  finding(): RollbackFinding | undefined {
    const { calls, failures, overLimit } = this.#next;
    if (calls < callsMin || failures + overLimit <= calls * badRateMax) return undefined;
    const reason = `more than ${badRateMax * 100} % of the calls are bad`;
    return { route: '*', kind: EvidenceKind.Failures, reason, needsOutageCheck: false };
  }

  logEvidenceAgainst(): number {
    return 0;
  }

  beginStage(): void {
    // The threshold knows no stages.
  }

  stageExcessFailures(): number {
    return 0;
  }

  faultyServers(): ReadonlySet<string> {
    return new Set();
  }

  discardUncomparedEvidence(): void {
    // The threshold knows no comparison.
  }
}
