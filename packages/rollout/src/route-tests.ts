import type { ServiceIntent } from '@sequoiafield/types';
import {
  addVersionCounts,
  createVersionCounts,
  type ReporterCounts,
  type RouteBlock,
  type VersionCounts,
  type VersionCountsPair,
} from './evidence-blocks.js';
import type { BernoulliCounts } from './e-variables.js';
import { SequentialRateTest } from './sequential-rate-test.js';
import { LeaveOneGroupOutTest } from './leave-one-group-out-test.js';
import { SlowCallThreshold } from './slow-call-threshold.js';
import type { BernoulliCountsPair } from './stratum.js';
import { EvidenceKind } from './version-test.js';

/** Highest part of slow calls at which the service's latency limit counts as met. */
const slowFractionMax = 0.05;
/** Smallest difference in the part of slow calls that matters. */
const slowMaterialDifference = 0.03;
/** Smallest difference in the failure rate that matters, as a fraction of the service's limit. */
const materialFractionOfLimit = 0.25;
/**
 * Fewest seconds with unanswered attempts before they count against the version. A version may run on
 * a single backend server, which callers eject within a few seconds if only that server hangs.
 */
const unansweredSecondsMin = 8;
/** Shortest time from the first to the last second with unanswered attempts. */
const unansweredSpanMinS = 15;
/** Longest pause between two seconds with unanswered attempts; a longer one restarts the count. */
const unansweredPauseMaxS = 60;

/** Counts the attempts on each new backend server; unanswered attempts count as failures. */
const attemptsByServer = ({ reporters, targets }: RouteBlock): Map<string, ReporterCounts> => {
  const servers = new Map<string, ReporterCounts>();
  reporters.forEach(({ counts }, id) => {
    servers.set(id, { dataCentre: '', counts: { ...createVersionCounts(), calls: counts.calls } });
  });
  targets.forEach(({ calls, failures }, id) => {
    const { counts } = servers.get(id) ?? { counts: createVersionCounts() };
    const sum = { ...counts, calls: counts.calls + calls, failures };
    servers.set(id, { dataCentre: '', counts: sum });
  });
  return servers;
};

/** Tests of one route, or of all routes together, for all kinds of evidence. */
export class RouteTests {
  readonly testsByKind: Readonly<Record<EvidenceKind, LeaveOneGroupOutTest>>;

  readonly oldHistory = createVersionCounts();

  readonly #slowCallThreshold: SlowCallThreshold;

  #second = 0;

  /** Number, first and last of the seconds with unanswered attempts since the last long pause. */
  #unansweredSeconds = { count: 0, first: 0, last: 0 };

  constructor(service: ServiceIntent) {
    const failureLimit = service.failureLimitPercent / 100;
    const materialDifference = failureLimit * materialFractionOfLimit;
    const createFailureRateTest = (): SequentialRateTest =>
      new SequentialRateTest(failureLimit, materialDifference);
    this.testsByKind = {
      [EvidenceKind.Failures]: new LeaveOneGroupOutTest(createFailureRateTest),
      [EvidenceKind.Slow]: new LeaveOneGroupOutTest(
        () => new SequentialRateTest(slowFractionMax, slowMaterialDifference),
      ),
      [EvidenceKind.Unanswered]: new LeaveOneGroupOutTest(createFailureRateTest),
    };
    this.#slowCallThreshold = new SlowCallThreshold(service.latencyLimitMs);
  }

  observe(block: RouteBlock): void {
    this.#observeKind(EvidenceKind.Failures, block, ({ calls, failures }) => ({
      calls,
      bad: failures,
    }));
    this.#observeKind(EvidenceKind.Slow, block, (counts) =>
      this.#slowCallThreshold.countSlowCalls(counts),
    );
    const ended = { old: createVersionCounts(), next: createVersionCounts() };
    block.dataCentres.forEach(({ old, next }) => {
      addVersionCounts(ended.old, old);
      addVersionCounts(ended.next, next);
    });
    this.#observeUnanswered(block, ended);
    addVersionCounts(this.oldHistory, ended.old);
    this.#slowCallThreshold.calibrate(this.oldHistory);
  }

  /** False while the unanswered attempts may be caused by one hung backend server. */
  isSustained(kind: EvidenceKind): boolean {
    if (kind !== EvidenceKind.Unanswered) return true;
    const { count, first, last } = this.#unansweredSeconds;
    return count >= unansweredSecondsMin && last - first >= unansweredSpanMinS;
  }

  #observeKind(
    kind: EvidenceKind,
    { dataCentres, reporters }: RouteBlock,
    count: (counts: VersionCounts) => BernoulliCounts,
  ): void {
    const pairs = new Map<string, BernoulliCountsPair>();
    dataCentres.forEach(({ old, next }, name) =>
      pairs.set(name, { old: count(old), next: count(next) }),
    );
    this.testsByKind[kind].observe(pairs, reporters, count);
  }

  /**
   * Pools the data centres, since callers in all of them report unanswered attempts, but counts the
   * backend servers separately, so that a single hung server is not mistaken for a bad version.
   */
  #observeUnanswered(block: RouteBlock, ended: VersionCountsPair): void {
    const { unanswered } = block;
    const withEnded = (side: 'old' | 'next'): BernoulliCounts => ({
      calls: ended[side].calls + unanswered[side].calls,
      bad: unanswered[side].failures,
    });
    const attempts = new Map([['', { old: withEnded('old'), next: withEnded('next') }]]);
    const test = this.testsByKind[EvidenceKind.Unanswered];
    test.observe(attempts, attemptsByServer(block), ({ calls, failures }) => ({
      calls,
      bad: failures,
    }));
    this.#second += 1;
    if (this.#second - this.#unansweredSeconds.last > unansweredPauseMaxS) {
      this.#unansweredSeconds = { count: 0, first: this.#second, last: this.#second };
    }
    if (unanswered.next.failures === 0) return;
    this.#unansweredSeconds.count += 1;
    this.#unansweredSeconds.last = this.#second;
  }
}
