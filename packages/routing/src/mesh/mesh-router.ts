import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import {
  MemberState,
  takesNewWork,
  type AttemptReport,
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
import { MemberLoadTracker } from './member-load-tracker.js';
import { RouteBytesEstimator } from './route-bytes-estimator.js';

/**
 * Time that a member of another data centre has to be better by, beside its bytes. The way there and
 * back costs 2 ms; at 10 ms calls left the data centre half as often again on a quiet day, for no gain.
 */
const distanceMs = 36;
/**
 * Time that a member of another data centre has to be better by for each 1,000 bytes of a call, since
 * they are paid for. The users price 1,000 bytes at about 1/30 of what a lookup earns; being late by
 * 60 ms, a third of its target, costs it half.
 */
const distancePerKilobyteMs = 3.5;
/** Time that a call over a link costs both nodes; the own backend server is reached without one. */
const linkMs = 4;
/** Time that a member's expected failures cost: about what a second attempt takes. */
const failureMs = 400;
/** Time that a doubted member has to be better by. */
const suspectMs = 100;
/** Noise in the comparison, so that nodes with equal knowledge choose differently. */
const jitterPart = 0.1;
/** Members compared for one call; more would cost time, and two already avoid the fullest. */
const comparedMax = 8;
const pruneIntervalMs = 10_000;

/** What a mesh router reads. */
export interface MeshRouterOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly retryLimit: RetryLimit;
  readonly random: RandomSource;
}

/**
 * Router over hosts, prefixes and weights, which chooses members by expected time to an answer.
 *
 * @example
 * const match = router.match('GET', '/orders/7', 'shop.example');
 * const member = match && router.choose(match.service.name, 'v1', new Set());
 */
export class MeshRouter implements Router, System {
  readonly name = 'mesh-routing';

  readonly #splitters = new DestinationSplitters();

  readonly #pressure = new MemberLoadTracker();

  readonly #routeBytes = new RouteBytesEstimator();

  readonly #budget: FleetRetryBudget;

  #compiledFrom: MeshConfiguration | undefined;

  #table = new HostRouteTable([]);

  #prunedAtMs = 0;

  constructor(private readonly options: MeshRouterOptions) {
    const { retryLimit, members } = options;
    this.#budget = new FleetRetryBudget(retryLimit, () => members.fleetSize());
  }

  run(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#prunedAtMs < pruneIntervalMs) return;
    this.#prunedAtMs = nowMs;
    this.#pressure.prune((id) => this.options.members.get(id) !== undefined);
  }

  match(_method: string, path: string, host: string): RouteMatch | undefined {
    const { configuration } = this.options.orders.current();
    if (configuration !== this.#compiledFrom) {
      this.#compiledFrom = configuration;
      this.#table = new HostRouteTable(configuration?.routes ?? []);
      this.#routeBytes.retainOnly(new Set(configuration?.routes.map(({ name }) => name)));
    }
    const route = this.#table.find(host, path);
    const service = route && this.#splitters.next(route);
    if (!route || service === undefined) return undefined;
    return {
      route: {
        name: route.name,
        isIdempotent: route.isIdempotent,
        deadlineMs: route.timeoutMs,
        retryBudgetPercent: 100 * this.options.retryLimit.ratio,
        attemptsMax: route.attemptsMax,
      },
      service: { name: service, priority: route.rank, stableVersion: '' },
    };
  }

  choose(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
    route = '',
  ): MemberRow | undefined {
    const known = this.#candidates(service, backendVersion, triedIds);
    const candidates = known.filter(
      ({ id, incarnation }) => !this.#pressure.isFull(id, incarnation, route),
    );
    const usable = candidates.filter(
      ({ id, incarnation }) => !this.#pressure.isPaused(id, incarnation),
    );
    if (usable.length > 0) return this.#best(this.#sample(usable), this.#farMs(route));
    // Fails open: the member whose pause ends first is the likeliest to serve again.
    return candidates.reduce<MemberRow | undefined>((first, row) => {
      if (!first) return row;
      const isEarlier =
        this.#pressure.pausedUntilMs(row.id) < this.#pressure.pausedUntilMs(first.id);
      return isEarlier ? row : first;
    }, undefined);
  }

  retryAfterMs(service: string, backendVersion: string, route: string): number | undefined {
    const known = this.#candidates(service, backendVersion, new Set());
    const isFull = ({ id, incarnation }: MemberRow): boolean =>
      this.#pressure.isFull(id, incarnation, route);
    if (known.length === 0 || !known.every(isFull)) return undefined;
    return Math.min(...known.map(({ id }) => this.#pressure.retryAfterMs(id, route)));
  }

  begin(memberId: string): void {
    this.#pressure.begin(memberId);
  }

  report(report: AttemptReport): void {
    const { route, bodyBytes } = report;
    if (route !== undefined && bodyBytes !== undefined) this.#routeBytes.record(route, bodyBytes);
    this.#pressure.report(report);
  }

  recordFirstAttempt(service: string): void {
    this.#budget.recordRequest(service);
  }

  takeRetry(service: string): boolean {
    return this.#budget.take(service);
  }

  #candidates(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
  ): readonly MemberRow[] {
    const { evacuatedDataCentres } = this.options.orders.current();
    return this.options.members.ofService(service).filter((row) => {
      const isIn = !evacuatedDataCentres.has(row.dataCentre) && !triedIds.has(row.id);
      return takesNewWork(row.state) && isIn && row.backendVersion === backendVersion;
    });
  }

  /** All candidates, or as many near and far ones at random as are compared. */
  #sample(candidates: readonly MemberRow[]): readonly MemberRow[] {
    if (candidates.length <= comparedMax) return candidates;
    const near = candidates.filter(({ dataCentre }) => dataCentre === this.options.dataCentre);
    const far = candidates.filter(({ dataCentre }) => dataCentre !== this.options.dataCentre);
    const nearCount = Math.max(comparedMax / 2, comparedMax - far.length);
    const picked = this.#pick(near, nearCount);
    return [...picked, ...this.#pick(far, comparedMax - picked.length)];
  }

  #pick(rows: readonly MemberRow[], count: number): readonly MemberRow[] {
    if (rows.length <= count) return rows;
    const start = this.options.random.nextInt(rows.length);
    const step = 1 + this.options.random.nextInt(rows.length - 1);
    const picked = new Set<MemberRow>();
    for (let turn = 0; picked.size < count && turn < rows.length; turn++) {
      picked.add(rows[(start + turn * step) % rows.length]!);
    }
    return [...picked];
  }

  /** What a call of the route costs if it leaves the data centre. */
  #farMs(route: string): number {
    return distanceMs + (distancePerKilobyteMs * this.#routeBytes.meanBytes(route)) / 1000;
  }

  #best(candidates: readonly MemberRow[], farMs: number): MemberRow | undefined {
    let best: MemberRow | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const row of candidates) {
      const jitter = 1 + jitterPart * this.options.random.next();
      const expectedMs = this.#expectedMs(row, farMs) * jitter;
      if (expectedMs < bestMs) {
        best = row;
        bestMs = expectedMs;
      }
    }
    return best;
  }

  /** Expected time to an answer, with what distance, failures and doubt cost. */
  #expectedMs(row: MemberRow, farMs: number): number {
    const { meanServiceMs, calls, slots, failureRatio } = this.#pressureOf(row);
    const waitMs = (Math.max(0, calls + 1 - slots) * meanServiceMs) / slots;
    const busyMs = meanServiceMs * (1 + 0.5 * Math.min(1, calls / slots) ** 2);
    const wayMs = row.dataCentre === this.options.dataCentre ? 0 : farMs;
    const hopMs = row.id === this.options.selfId ? 0 : linkMs;
    const doubtMs = row.state === MemberState.Suspect ? suspectMs : 0;
    return busyMs + waitMs + wayMs + hopMs + doubtMs + failureRatio * failureMs;
  }

  #pressureOf(row: MemberRow): ReturnType<MemberLoadTracker['estimate']> {
    return this.#pressure.estimate(row.id, row.incarnation);
  }
}
