import type { ServiceIntent } from '@sequoiafield/types';
import {
  addCounts,
  newCounts,
  type ReporterCounts,
  type RouteBlock,
  type SideCounts,
  type SidePair,
} from './evidence-blocks.js';
import type { BernoulliCounts } from './e-variables.js';
import { KindTest } from './kind-test.js';
import { SeparatedTest } from './separated-test.js';
import { SlowLine } from './slow-line.js';
import type { CountsPair } from './stratum.js';
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
    servers.set(id, { dataCentre: '', counts: { ...newCounts(), calls: counts.calls } });
  });
  targets.forEach(({ calls, failures }, id) => {
    const { counts } = servers.get(id) ?? { counts: newCounts() };
    const sum = { ...counts, calls: counts.calls + calls, failures };
    servers.set(id, { dataCentre: '', counts: sum });
  });
  return servers;
};

/** Tests of one route. */
export class RouteTests {
  readonly kinds: Readonly<Record<EvidenceKind, SeparatedTest>>;

  readonly oldHistory = newCounts();

  readonly #line: SlowLine;

  #second = 0;

  /** Seconds with unanswered attempts since the last long pause, the first and the last of them. */
  #unanswered = { count: 0, first: 0, last: 0 };

  constructor(service: ServiceIntent) {
    const failureLimit = service.failureLimitPercent / 100;
    const material = failureLimit * materialPartOfLimit;
    const createForFailures = (): KindTest => new KindTest(failureLimit, material);
    this.kinds = {
      [EvidenceKind.Failures]: new SeparatedTest(createForFailures),
      [EvidenceKind.Slow]: new SeparatedTest(() => new KindTest(slowLimit, slowMaterial)),
      [EvidenceKind.Unanswered]: new SeparatedTest(createForFailures),
    };
    this.#line = new SlowLine(service.latencyLimitMs);
  }

  observe(block: RouteBlock): void {
    this.#observeKind(EvidenceKind.Failures, block, ({ calls, failures }) => ({
      calls,
      bad: failures,
    }));
    this.#observeKind(EvidenceKind.Slow, block, (counts) => this.#line.count(counts));
    const ended = { old: newCounts(), next: newCounts() };
    block.dataCentres.forEach(({ old, next }) => {
      addCounts(ended.old, old);
      addCounts(ended.next, next);
    });
    this.#observeUnanswered(block, ended);
    addCounts(this.oldHistory, ended.old);
    this.#line.learn(this.oldHistory);
  }

  /** False while attempts without answer may come from one hung backend server. */
  isLasting(kind: EvidenceKind): boolean {
    if (kind !== EvidenceKind.Unanswered) return true;
    const { count, first, last } = this.#unanswered;
    return count >= unansweredSecondsMin && last - first >= unansweredLastingS;
  }

  #observeKind(
    kind: EvidenceKind,
    { dataCentres, reporters }: RouteBlock,
    count: (counts: SideCounts) => BernoulliCounts,
  ): void {
    const pairs = new Map<string, CountsPair>();
    dataCentres.forEach(({ old, next }, name) =>
      pairs.set(name, { old: count(old), next: count(next) }),
    );
    this.kinds[kind].observe(pairs, reporters, count);
  }

  /**
   * Pools the data centres, since callers of all of them report an attempt without answer, but keeps
   * the backend servers apart, so that a single hung one is not taken for a bad version.
   */
  #observeUnanswered(block: RouteBlock, ended: SidePair): void {
    const { unanswered } = block;
    const withEnded = (side: 'old' | 'next'): BernoulliCounts => ({
      calls: ended[side].calls + unanswered[side].calls,
      bad: unanswered[side].failures,
    });
    const attempts = new Map([['', { old: withEnded('old'), next: withEnded('next') }]]);
    const test = this.kinds[EvidenceKind.Unanswered];
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
