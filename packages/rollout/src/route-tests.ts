import type { ServiceIntent } from '@sequoiafield/types';
import { addCounts, newCounts, type RouteBlock, type SideCounts } from './evidence-blocks.js';
import { KindTest } from './kind-test.js';
import { SlowLine } from './slow-line.js';
import type { CountsPair } from './stratum.js';
import { EvidenceKind } from './version-test.js';

/** Part of the calls that may be slow before the service's latency limit counts as broken. */
const slowLimit = 0.05;
/** Smallest difference in the part of slow calls that matters. */
const slowMaterial = 0.03;
/** Smallest difference in the failure rate that matters, as a part of the service's limit. */
const materialPartOfLimit = 0.25;
/** Calls of a reporter before its lack of bad calls says something. */
const reporterCallsMin = 5;

/** Tests of one route. */
export class RouteTests {
  readonly kinds: Readonly<Record<EvidenceKind, KindTest>>;

  readonly line: SlowLine;

  readonly oldHistory = newCounts();

  reporters: ReadonlyMap<string, SideCounts> = new Map();

  constructor(service: ServiceIntent) {
    const failureLimit = service.failureLimitPercent / 100;
    const material = failureLimit * materialPartOfLimit;
    this.kinds = {
      [EvidenceKind.Failures]: new KindTest(failureLimit, material),
      [EvidenceKind.Slow]: new KindTest(slowLimit, slowMaterial),
      [EvidenceKind.Unanswered]: new KindTest(failureLimit, material),
    };
    this.line = new SlowLine(service.latencyLimitMs);
  }

  observe(block: RouteBlock): void {
    this.reporters = block.reporters;
    const failures = new Map<string, CountsPair>();
    const slow = new Map<string, CountsPair>();
    const ended = { old: newCounts(), next: newCounts() };
    block.dataCentres.forEach(({ old, next }, name) => {
      addCounts(ended.old, old);
      addCounts(ended.next, next);
      failures.set(name, {
        old: { calls: old.calls, bad: old.failures },
        next: { calls: next.calls, bad: next.failures },
      });
      slow.set(name, { old: this.line.count(old), next: this.line.count(next) });
    });
    this.kinds[EvidenceKind.Failures].observe(failures);
    this.kinds[EvidenceKind.Slow].observe(slow);
    const { unanswered } = block;
    const withEnded = (side: 'old' | 'next'): { calls: number; bad: number } => ({
      calls: ended[side].calls + unanswered[side].calls,
      bad: unanswered[side].failures,
    });
    const attempts = new Map([['', { old: withEnded('old'), next: withEnded('next') }]]);
    this.kinds[EvidenceKind.Unanswered].observe(attempts);
    addCounts(this.oldHistory, ended.old);
    this.line.learn(this.oldHistory);
  }

  /**
   * False if several backend servers of the new version have calls but only one has bad ones: then
   * that backend server is at fault rather than the version.
   */
  isSeenByMany(kind: EvidenceKind): boolean {
    if (kind === EvidenceKind.Unanswered) return true;
    const withCalls = [...this.reporters.values()].filter(({ calls }) => calls >= reporterCallsMin);
    const withBad = withCalls.filter((counts) =>
      kind === EvidenceKind.Failures ? counts.failures > 0 : this.line.count(counts).bad > 0,
    );
    return withCalls.length < 2 || withBad.length >= 2;
  }
}
