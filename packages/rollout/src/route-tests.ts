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

/** Part of the calls that may be slow before the service's latency limit counts as broken. */
const slowLimit = 0.05;
/** Smallest difference in the part of slow calls that matters. */
const slowMaterial = 0.03;
/** Smallest difference in the failure rate that matters, as a part of the service's limit. */
const materialPartOfLimit = 0.25;
/**
 * Seconds with unanswered attempts that it takes to blame the version. A version may run on a single
 * backend server, which callers eject within a few seconds if only it hangs.
 */
const unansweredSecondsMin = 8;
/** Shortest time from the first to the last of these seconds, and the pause that ends it. */
const unansweredLastingS = 15;
const unansweredPauseMaxS = 60;

/** Attempts on each new backend server: calls that it ended, and unanswered ones as failures. */
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

/** Tests of one route. */
export class RouteTests {
  readonly testsByKind: Readonly<Record<EvidenceKind, LeaveOneGroupOutTest>>;

  readonly oldHistory = createVersionCounts();

  readonly #line: SlowCallThreshold;

  #second = 0;

  /** Seconds with unanswered attempts since the last long pause, the first and the last of them. */
  #unanswered = { count: 0, first: 0, last: 0 };

  constructor(service: ServiceIntent) {
    const failureLimit = service.failureLimitPercent / 100;
    const material = failureLimit * materialPartOfLimit;
    const createForFailures = (): SequentialRateTest =>
      new SequentialRateTest(failureLimit, material);
    this.testsByKind = {
      [EvidenceKind.Failures]: new LeaveOneGroupOutTest(createForFailures),
      [EvidenceKind.Slow]: new LeaveOneGroupOutTest(
        () => new SequentialRateTest(slowLimit, slowMaterial),
      ),
      [EvidenceKind.Unanswered]: new LeaveOneGroupOutTest(createForFailures),
    };
    this.#line = new SlowCallThreshold(service.latencyLimitMs);
  }

  observe(block: RouteBlock): void {
    this.#observeKind(EvidenceKind.Failures, block, ({ calls, failures }) => ({
      calls,
      bad: failures,
    }));
    this.#observeKind(EvidenceKind.Slow, block, (counts) => this.#line.countSlowCalls(counts));
    const ended = { old: createVersionCounts(), next: createVersionCounts() };
    block.dataCentres.forEach(({ old, next }) => {
      addVersionCounts(ended.old, old);
      addVersionCounts(ended.next, next);
    });
    this.#observeUnanswered(block, ended);
    addVersionCounts(this.oldHistory, ended.old);
    this.#line.calibrate(this.oldHistory);
  }

  /** False while attempts without answer may come from one hung backend server. */
  isSustained(kind: EvidenceKind): boolean {
    if (kind !== EvidenceKind.Unanswered) return true;
    const { count, first, last } = this.#unanswered;
    return count >= unansweredSecondsMin && last - first >= unansweredLastingS;
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
   * Pools the data centres, since callers of all of them report an attempt without answer, but keeps
   * the backend servers apart, so that a single hung one is not taken for a bad version.
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
    if (this.#second - this.#unanswered.last > unansweredPauseMaxS) {
      this.#unanswered = { count: 0, first: this.#second, last: this.#second };
    }
    if (unanswered.next.failures === 0) return;
    this.#unanswered.count += 1;
    this.#unanswered.last = this.#second;
  }
}
