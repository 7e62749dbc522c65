import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import {
  CapacityMode,
  MemberState,
  type AttemptReport,
  type HostRoute,
  type MemberRow,
  type MemberView,
  type MeshConfiguration,
  type OrdersView,
  type RouteMatch,
  type Router,
} from '@sequoiafield/types';
import { DestinationSplitters } from './destination-splitters.js';
import { FleetRetryBudget, type RetryLimit } from './fleet-retry-budget.js';
import { HostRouteTable } from './host-route-table.js';
import { MemberLoadTracker, type MemberLoadEstimate } from './member-load-tracker.js';
import { hasNearRoom } from './near-room.js';
import { drawMembers, PermittedMembers } from './permitted-members.js';
import { RouteBytesEstimator } from './route-bytes-estimator.js';

/**
 * Latency target for which the penalties below are stated. They grow with the target of a service, so
 * that one rule holds for calls of 60 ms and of 400 ms.
 */
const referenceTargetMs = 200;
/**
 * Expected time by which a member of another data centre has to be faster, in addition to the cost of
 * the call's bytes. The round trip there takes 2 ms; with a penalty of 10 ms, half as many calls again
 * leave the data centre at low load, for no gain.
 */
const otherDataCentrePenaltyMs = 18;
/**
 * Expected time by which a member of another data centre has to be faster for each 1,000 bytes of a
 * call, since bytes between data centres are paid for. 1,000 bytes cost about 1/30 of what a lookup
 * earns; a lookup that is late by 60 ms, a third of its target, earns half.
 */
const otherDataCentrePenaltyPerKilobyteMs = 2;
/** Time that a call over a link costs both nodes; calls to the own backend server use no link. */
const linkPenaltyMs = 4;
/** Time that a failed call costs, about that of a second attempt; weighted by the failure ratio. */
const failurePenaltyMs = 400;
/** Expected time by which a suspect member has to be faster. */
const suspectPenaltyMs = 100;
/** Share of random noise in the comparison, so that nodes with equal data choose differently. */
const jitterShare = 0.1;
/** Members of the own and of other data centres compared for one call at most; more cost time. */
const comparedNearMax = 8;
const comparedFarMax = 4;
const pruneIntervalMs = 10_000;

const longestTargetsMs = (routes: readonly HostRoute[]): ReadonlyMap<string, number> => {
  const targetsMs = new Map<string, number>();
  for (const { destinations, targetLatencyMs } of routes) {
    for (const { service } of destinations) {
      targetsMs.set(service, Math.max(targetsMs.get(service) ?? 0, targetLatencyMs));
    }
  }
  return targetsMs;
};

/** Options of `MeshRouter`. */
export interface MeshRouterOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly retryLimit: RetryLimit;
  readonly random: RandomSource;
}

/**
 * Router that matches requests by host, prefix and weight and chooses members by the expected time to
 * an answer.
 *
 * @example
 * const match = router.match('GET', '/orders/7', 'shop.example');
 * const member = match && router.choose(match.service.name, 'v1', new Set());
 */
export class MeshRouter implements Router, System {
  readonly name = 'mesh-routing';

  readonly #splitters = new DestinationSplitters();

  readonly #loadTracker: MemberLoadTracker;

  readonly #permittedMembers: PermittedMembers;

  readonly #routeBytes = new RouteBytesEstimator();

  readonly #retryBudget: FleetRetryBudget;

  #compiledConfiguration: MeshConfiguration | undefined;

  #table = new HostRouteTable([]);

  /** Longest latency target of the routes to each service. */
  #targetsMs: ReadonlyMap<string, number> = new Map();

  #prunedAtMs = 0;

  constructor(private readonly options: MeshRouterOptions) {
    const { retryLimit, members, orders, dataCentre } = options;
    this.#permittedMembers = new PermittedMembers(dataCentre, members, orders);
    this.#loadTracker = new MemberLoadTracker(dataCentre, (service) =>
      this.#targetLatencyMsOf(service),
    );
    this.#retryBudget = new FleetRetryBudget(retryLimit, () => members.fleetSize());
  }

  run(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#prunedAtMs < pruneIntervalMs) return;
    this.#prunedAtMs = nowMs;
    this.#loadTracker.prune((id) => this.options.members.get(id) !== undefined);
  }

  isIdempotent(path: string, host: string): boolean {
    return this.#findRoute(host, path)?.isIdempotent ?? true;
  }

  match(_method: string, path: string, host: string): RouteMatch | undefined {
    const route = this.#findRoute(host, path);
    const service = route && this.#splitters.next(route);
    if (!route || service === undefined) return undefined;
    return {
      route: {
        name: route.name,
        isIdempotent: route.isIdempotent,
        hasLargeBodies: route.hasLargeBodies,
        deadlineMs: route.timeoutMs,
        retryBudgetPercent: 100 * this.options.retryLimit.ratio,
        attemptsMax: route.attemptsMax,
        targetLatencyMs: route.targetLatencyMs,
        isPublic: route.isPublic,
      },
      service: {
        name: service,
        priority: route.rank,
        stableVersion: '',
        capacityMode: this.#capacityModeOf(service),
      },
    };
  }

  choose(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
    route = '',
    mayBeLate = false,
  ): MemberRow | undefined {
    const { near, far } = this.#permittedMembers.of(service, backendVersion);
    const isUsable = ({ id, incarnation }: MemberRow): boolean =>
      !triedIds.has(id) &&
      this.#loadTracker.isAvailable(id, incarnation, mayBeLate ? undefined : route);
    const { random } = this.options;
    const comparedNear = drawMembers(near, comparedNearMax, isUsable, random);
    const compared = this.#hasNearRoom(comparedNear, service, near.length)
      ? comparedNear
      : [...comparedNear, ...drawMembers(far, comparedFarMax, isUsable, random)];
    if (compared.length > 0) {
      this.#loadTracker.baselineOf(service).recordCall(monotonicNowMs());
      const usedMembersCount = comparedNear.length > 0 ? near.length : far.length;
      return this.#best(compared, service, usedMembersCount, this.#farPenaltyMs(route, service));
    }
    const untried = [...near, ...far].filter(({ id }) => !triedIds.has(id));
    return this.#firstToServeAgain(untried, route);
  }

  retryAfterMs(service: string, backendVersion: string, route: string): number | undefined {
    const { near, far } = this.#permittedMembers.of(service, backendVersion);
    const permitted = [...near, ...far];
    const isFull = ({ id, incarnation }: MemberRow): boolean =>
      this.#loadTracker.isFull(id, incarnation, route);
    if (permitted.length === 0 || !permitted.every(isFull)) return undefined;
    return Math.min(...permitted.map(({ id }) => this.#loadTracker.retryAfterMs(id, route)));
  }

  begin(memberId: string): void {
    this.#loadTracker.begin(memberId);
  }

  report(report: AttemptReport): void {
    const { route, bodyBytes } = report;
    if (route !== undefined && bodyBytes !== undefined) this.#routeBytes.record(route, bodyBytes);
    const member = this.options.members.get(report.memberId);
    this.#loadTracker.report(report, member?.dataCentre ?? '');
  }

  recordFirstAttempt(service: string): void {
    this.#retryBudget.recordRequest(service);
  }

  takeRetry(service: string): boolean {
    return this.#retryBudget.takeRetry(service);
  }

  /** Returns the route of a path in the configuration in force. */
  #findRoute(host: string, path: string): HostRoute | undefined {
    const { configuration } = this.options.orders.current();
    if (configuration !== this.#compiledConfiguration) {
      this.#compiledConfiguration = configuration;
      this.#table = new HostRouteTable(configuration?.routes ?? []);
      this.#targetsMs = longestTargetsMs(configuration?.routes ?? []);
      this.#routeBytes.retainOnly(new Set(configuration?.routes.map(({ name }) => name)));
    }
    return this.#table.find(host, path);
  }

  /** Fails open: returns the member whose pause ends first, which most probably serves again. */
  #firstToServeAgain(members: readonly MemberRow[], route: string): MemberRow | undefined {
    let first: MemberRow | undefined;
    let firstUntilMs = Number.POSITIVE_INFINITY;
    for (const row of members) {
      if (this.#loadTracker.isFull(row.id, row.incarnation, route)) continue;
      const untilMs = this.#loadTracker.pausedUntilMs(row.id);
      if (untilMs < firstUntilMs) {
        first = row;
        firstUntilMs = untilMs;
      }
    }
    return first;
  }

  /** Whether the member may have a free slot; false only if its last report, still fresh, shows none. */
  mayHaveFreeSlot(service: string, member: MemberRow): boolean {
    const { calls, slots, isReportFresh } = this.#loadTracker.estimate(member, service, 1);
    return calls < slots || !isReportFresh;
  }

  /** Whether a call stays in the own data centre; services with declared capacity compare all members. */
  #hasNearRoom(
    comparedNear: readonly MemberRow[],
    service: string,
    usedMembersCount: number,
  ): boolean {
    if (this.#capacityModeOf(service) !== CapacityMode.Learned) return false;
    const baseline = this.#loadTracker.baselineOf(service);
    return comparedNear.some((row) => {
      const load = this.#loadTracker.estimate(row, service, usedMembersCount);
      return hasNearRoom(row, load, baseline);
    });
  }

  #capacityModeOf(service: string): CapacityMode {
    const { configuration } = this.options.orders.current();
    return configuration?.services.get(service)?.capacityMode ?? CapacityMode.Declared;
  }

  /** Factor of the penalties for a service with a longer target than the reference. */
  #penaltyFactor(service: string): number {
    return Math.max(1, this.#targetLatencyMsOf(service) / referenceTargetMs);
  }

  #targetLatencyMsOf(service: string): number {
    return this.#targetsMs.get(service) ?? referenceTargetMs;
  }

  /** Time that a call of the route costs in addition if it leaves the data centre. */
  #farPenaltyMs(route: string, service: string): number {
    const bytesPenaltyMs =
      (otherDataCentrePenaltyPerKilobyteMs * this.#routeBytes.meanBytes(route)) / 1000;
    return this.#penaltyFactor(service) * (otherDataCentrePenaltyMs + bytesPenaltyMs);
  }

  #best(
    candidates: readonly MemberRow[],
    service: string,
    usedMembersCount: number,
    farPenaltyMs: number,
  ): MemberRow | undefined {
    const penaltyFactor = this.#penaltyFactor(service);
    let best: MemberRow | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const row of candidates) {
      const jitter = 1 + jitterShare * this.options.random.next();
      const load = this.#loadTracker.estimate(row, service, usedMembersCount);
      const expectedMs = this.#expectedMs(row, load, farPenaltyMs, penaltyFactor) * jitter;
      if (expectedMs < bestMs) {
        best = row;
        bestMs = expectedMs;
      }
    }
    return best;
  }

  /** Expected time to an answer, including the costs of distance, failures and suspicion. */
  #expectedMs(
    row: MemberRow,
    { meanServiceMs, calls, slots, failureRatio }: MemberLoadEstimate,
    farPenaltyMs: number,
    penaltyFactor: number,
  ): number {
    const waitMs = (Math.max(0, calls + 1 - slots) * meanServiceMs) / slots;
    const busyMs = meanServiceMs * (1 + 0.5 * Math.min(1, calls / slots) ** 2);
    const distanceMs = row.dataCentre === this.options.dataCentre ? 0 : farPenaltyMs;
    const linkMs = row.id === this.options.selfId ? 0 : linkPenaltyMs;
    const suspicionMs = row.state === MemberState.Suspect ? suspectPenaltyMs : 0;
    const unreliableMs = penaltyFactor * (suspicionMs + failureRatio * failurePenaltyMs);
    return busyMs + waitMs + distanceMs + linkMs + unreliableMs;
  }
}
