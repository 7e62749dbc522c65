import { monotonicNowMs, SeededRandom } from '@sequoiafield/tables';
import { sampleMember, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import { CapacityMode, type MemberRow, type MemberView } from '@sequoiafield/types';
import { MeshRouter } from '../index.js';
import { FleetServer } from './fleet-server.js';

const service = 's';
const route = 'look';
const stepMs = 5;
/** Attempts at members that are expected to have a free slot, as the call path makes them. */
const unqueuedAttemptsMax = 2;
const slowFactor = 4;

/** Size of a fleet; each server has a node that makes calls. */
export interface LargeFleetOptions {
  readonly dataCentresCount: number;
  readonly serversPerDataCentreCount: number;
  readonly slots: number;
  readonly serviceMs: number;
  readonly targetLatencyMs: number;
  /** Speeds of the servers, in turn; all 1 if left out. */
  readonly speeds?: readonly number[];
  /** `Declared` if left out. */
  readonly capacityMode?: CapacityMode;
  /** Time after which a caller gets the report of a call that has ended; 0 if left out. */
  readonly reportDelayMs?: number;
}

/** Load that a run offers. */
export interface FleetLoad {
  /** Load of all servers as a share of their capacity. */
  readonly loadShare: number;
  /** Load of the first data centre if it differs. */
  readonly overloadedDataCentreShare?: number;
  /** Time after which the overload moves to the next data centre; it stays if left out. */
  readonly overloadMovesAfterMs?: number;
  /** Share of the servers that take four times as long. */
  readonly slowServersShare?: number;
  readonly durationMs: number;
}

/** What the callers of a run got. */
export interface FleetResult {
  calls: number;
  leftDataCentre: number;
  /** Calls that left a data centre without overload. */
  leftCalmDataCentre: number;
  meanWaitMs: number;
  /** 99th percentile of the time to an answer. */
  p99Ms: number;
  busiestOverMean: number;
  slowShare: number;
}

/**
 * Plays calls of a large fleet on real routers and simulated servers in virtual time. Members, their
 * loads and the calls per node are those of the users' sites; the network takes no time.
 */
export class LargeFleet {
  readonly #random = new SeededRandom(11);

  readonly #servers: FleetServer[] = [];

  readonly #routers: MeshRouter[] = [];

  readonly #endings: { readonly atMs: number; readonly end: () => void }[] = [];

  readonly #timesMs: number[] = [];

  #overloaded = 'dc-0';

  readonly #result: FleetResult = {
    calls: 0,
    leftDataCentre: 0,
    leftCalmDataCentre: 0,
    meanWaitMs: 0,
    p99Ms: 0,
    busiestOverMean: 0,
    slowShare: 0,
  };

  constructor(
    private readonly clock: PausedClock,
    private readonly options: LargeFleetOptions,
  ) {}

  /** Offers a load for some time and returns what the callers got. */
  async run(load: FleetLoad): Promise<FleetResult> {
    this.#build(load.slowServersShare ?? 0);
    const { slots, serviceMs } = this.options;
    const perServerPerMs = (load.loadShare * slots) / serviceMs;
    const overloadedPerMs =
      ((load.overloadedDataCentreShare ?? load.loadShare) * slots) / serviceMs;
    for (let atMs = 0; atMs < load.durationMs; atMs += stepMs) {
      const moves = Math.floor(atMs / (load.overloadMovesAfterMs ?? Number.POSITIVE_INFINITY));
      this.#overloaded = `dc-${moves % this.options.dataCentresCount}`;
      this.#servers.forEach(({ row }, index) => {
        const perMs = row.dataCentre === this.#overloaded ? overloadedPerMs : perServerPerMs;
        if (this.#random.next() < perMs * stepMs) this.#call(index);
      });
      await this.clock.advance(stepMs, stepMs);
      this.#endDue();
    }
    return this.#summary();
  }

  #build(slowServersShare: number): void {
    const { dataCentresCount, serversPerDataCentreCount, slots, serviceMs } = this.options;
    const { speeds = [1] } = this.options;
    const count = dataCentresCount * serversPerDataCentreCount;
    for (let index = 0; index < count; index++) {
      const row = sampleMember(`n${index}`, { dataCentre: `dc-${index % dataCentresCount}` });
      const isSlow = index < slowServersShare * count;
      const speed = speeds[Math.floor(index / dataCentresCount) % speeds.length]!;
      const usualMs = serviceMs / speed;
      this.#servers.push(new FleetServer(row, slots, isSlow ? slowFactor * usualMs : usualMs));
    }
    const rows = this.#servers.map(({ row }) => row);
    rows.forEach((row, index) => this.#routers.push(this.#createRouter(row, rows, index)));
  }

  #createRouter(self: MemberRow, rows: readonly MemberRow[], seed: number): MeshRouter {
    const members: MemberView = {
      revision: () => 0,
      selfId: self.id,
      fleetSize: () => rows.length,
      get: (id) => rows.find((row) => row.id === id),
      all: () => rows,
      ofService: () => rows,
    };
    const orders = new SampleOrders({ [route]: this.options.targetLatencyMs });
    orders.setCapacityMode(this.options.capacityMode ?? CapacityMode.Declared);
    const router = new MeshRouter({
      ...{ selfId: self.id, dataCentre: self.dataCentre, members },
      orders,
      retryLimit: { ratio: 0.2, slack: 64, windowMs: 10_000 },
      random: new SeededRandom(seed + 1),
    });
    router.match('GET', `/${route}/1`, 'shop.example');
    return router;
  }

  #call(callerIndex: number): void {
    const router = this.#routers[callerIndex]!;
    for (let attempt = 0; ; attempt++) {
      const member = router.choose(service, 'v1', new Set(), route)!;
      const server = this.#servers.find(({ row }) => row.id === member.id)!;
      router.begin(member.id);
      const mayWait = attempt >= unqueuedAttemptsMax || !router.mayHaveFreeSlot(service, member);
      if (server.running < server.slots || mayWait) {
        this.#admit(callerIndex, server);
        return;
      }
      const load = server.load();
      router.report({ memberId: member.id, service, route, hasFailed: false, latencyMs: 1, load });
    }
  }

  #admit(callerIndex: number, server: FleetServer): void {
    const caller = this.#servers[callerIndex]!.row;
    this.#result.calls += 1;
    server.count();
    if (server.row.dataCentre !== caller.dataCentre) {
      this.#result.leftDataCentre += 1;
      if (caller.dataCentre !== this.#overloaded) this.#result.leftCalmDataCentre += 1;
    }
    const start = (waitMs: number): void => this.#start(callerIndex, server, waitMs);
    if (server.running < server.slots) {
      start(0);
      return;
    }
    server.queue.push({ arrivedAtMs: monotonicNowMs(), start });
  }

  #start(callerIndex: number, server: FleetServer, waitMs: number): void {
    this.#result.meanWaitMs += waitMs;
    server.begin();
    const serviceMs = -Math.log(1 - this.#random.next()) * server.serviceMs;
    this.#timesMs.push(waitMs + serviceMs);
    const end = (): void => {
      server.end(serviceMs);
      const report = {
        ...{ memberId: server.row.id, service, route, hasFailed: false },
        ...{ latencyMs: waitMs + serviceMs, load: server.load() },
      };
      const atMs = monotonicNowMs() + (this.options.reportDelayMs ?? 0);
      this.#endings.push({ atMs, end: () => this.#routers[callerIndex]!.report(report) });
      const next = server.queue.shift();
      next?.start(monotonicNowMs() - next.arrivedAtMs);
    };
    this.#endings.push({ atMs: monotonicNowMs() + serviceMs, end });
  }

  #endDue(): void {
    const nowMs = monotonicNowMs();
    const due = this.#endings.filter(({ atMs }) => atMs <= nowMs);
    const later = this.#endings.filter(({ atMs }) => atMs > nowMs);
    this.#endings.splice(0, this.#endings.length, ...later);
    due.forEach(({ end }) => end());
    // Reports without a delay are due at once.
    if (this.#endings.some(({ atMs }) => atMs <= nowMs)) this.#endDue();
  }

  #summary(): FleetResult {
    const result = this.#result;
    const served = this.#servers.map((server) => server.served);
    const mean = result.calls / served.length;
    const slow = this.#servers.filter(({ serviceMs }) => serviceMs > this.options.serviceMs);
    const slowServed = slow.reduce((sum, server) => sum + server.served, 0);
    return {
      ...result,
      meanWaitMs: result.meanWaitMs / result.calls,
      p99Ms: this.#timesMs.sort((left, right) => left - right)[Math.floor(0.99 * result.calls)]!,
      busiestOverMean: Math.max(...served) / mean,
      slowShare: slowServed / result.calls,
    };
  }
}
