import type { ServiceIntent } from '@sequoiafield/types';
import { mergeBlocks, type RouteBlock } from './evidence-blocks.js';
import { RouteTests } from './route-tests.js';
import { EvidenceKind, type RollbackFinding, type VersionTest } from './version-test.js';

/** Highest probability, per move, of rolling back a version that is no worse than the old one. */
export const alphaPerMove = 0.001;
/** The same probability for moves during which one new backend server is faulty, which are rare. */
const alphaWithFaultyServer = 0.05;
const logSlack = Math.log(alphaWithFaultyServer / alphaPerMove);
/** Two tests (two-sample and limit) of each kind of evidence on each route. */
const testsPerRoute = 2 * Object.keys(EvidenceKind).length;

const formatPercent = (rate: number): string => `${(rate * 100).toFixed(2)} %`;

/**
 * Tests the new version of one move against the old one and against the service's absolute limits:
 * E-processes per route, for all routes together and per kind of evidence. `alphaPerMove` is split
 * evenly over the routes, the kinds, both tests and the judges.
 *
 * @example
 * const test = new SequentialVersionTest(service, routes.length, 3);
 * test.observe(reader.read(move.evidence, filter));
 * test.finding()?.reason;
 */
export class SequentialVersionTest implements VersionTest {
  readonly #routes = new Map<string, RouteTests>();

  /** Tests of all routes together; their higher counts show a defect of all routes first. */
  readonly #allRoutes: RouteTests;

  readonly #logThreshold: number;

  constructor(
    private readonly service: ServiceIntent,
    routeCount: number,
    judgeCount: number,
  ) {
    const tests = (Math.max(1, routeCount) + 1) * testsPerRoute * Math.max(1, judgeCount);
    this.#allRoutes = new RouteTests(service);
    this.#logThreshold = Math.log(tests / alphaPerMove);
  }

  observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    blocks.forEach((block, route) => {
      const tests = this.#routes.get(route) ?? new RouteTests(this.service);
      this.#routes.set(route, tests);
      tests.observe(block);
    });
    this.#allRoutes.observe(mergeBlocks(blocks.values()));
  }

  finding(): RollbackFinding | undefined {
    for (const [route, tests] of [['*', this.#allRoutes] as const, ...this.#routes]) {
      for (const kind of Object.values(EvidenceKind)) {
        const finding = this.#findingOf(route, tests, kind);
        if (finding) return finding;
      }
    }
    return undefined;
  }

  logEvidenceAgainst(): number {
    const kindTests = this.#allRouteTests().flatMap((tests) => Object.values(tests.testsByKind));
    const wealths = kindTests.flatMap(({ twoSampleLogWealth, limitLogWealth }) => [
      twoSampleLogWealth,
      limitLogWealth,
    ]);
    return Math.max(0, ...wealths);
  }

  beginStage(): void {
    this.#allRoutes.testsByKind[EvidenceKind.Failures].beginStage();
  }

  stageExcessFailures(): number {
    return this.#allRoutes.testsByKind[EvidenceKind.Failures].stageExcessBadCalls(
      this.#logThreshold,
    );
  }

  faultyServers(): ReadonlySet<string> {
    return this.#allRoutes.testsByKind[EvidenceKind.Failures].faultyServers(this.#logThreshold);
  }

  discardUncomparedEvidence(): void {
    this.#allRouteTests().forEach(({ testsByKind }) => {
      Object.values(testsByKind).forEach((test) => test.resetLimitTests());
    });
  }

  #allRouteTests(): RouteTests[] {
    return [this.#allRoutes, ...this.#routes.values()];
  }

  #findingOf(route: string, tests: RouteTests, kind: EvidenceKind): RollbackFinding | undefined {
    const test = tests.testsByKind[kind];
    const { isWorse, isOverLimit } = test.evaluate(this.#logThreshold, logSlack);
    if ((!isWorse && !isOverLimit) || !tests.isSustained(kind)) return undefined;
    const scope = route === '*' ? 'all routes' : `route ${route}`;
    const reason = isWorse
      ? `${kind} on ${scope}: ${formatPercent(test.allCallsTest.recentRateDifference)} more than the old version`
      : `${kind} on ${scope}: more than ${formatPercent(test.allCallsTest.limitRate)}`;
    return { route, kind, reason, needsOutageCheck: !isWorse };
  }
}
