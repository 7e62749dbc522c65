import { SeededRandom } from '@sequoiafield/tables';
import {
  DataCentreState,
  MemberState,
  type MemberRow,
  type MemberView,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';
import { SimulatedNode } from './simulated-node.js';
import { SimulatedCall } from './simulated-call.js';
import { EventScheduler } from './event-scheduler.js';
import type { TrafficPolicy } from './traffic-policy.js';
import { ServiceStatistics } from './service-statistics.js';
import {
  offeredLoadShare,
  slotsPerServer,
  type UserWorkload,
  type ServiceWorkload,
} from './user-workloads.js';

/** Times of a run in ms. */
export interface EvacuationTimeline {
  /** Earlier calls are not counted: the whole fleet starts at once under full load until then. */
  readonly measureFromMs: number;
  readonly evacuateAtMs: number;
  /** The backend servers of the data centre stop this long after it was taken out. */
  readonly stopAfterMs: number;
  readonly restoreAtMs: number;
  readonly endAtMs: number;
}

/** Result of a run. */
export interface EvacuationResult {
  readonly services: ReadonlyMap<string, ServiceStatistics>;
  /** From taking the data centre out to the last begin of work there. */
  readonly lastNewRequestS: number;
  readonly doubledRequests: number;
  /** Running calls per call that a returned cold server could handle, at worst. */
  readonly coldOverloadMax: number;
}

/** A new configuration is in force on each node within this time; the target is 8 s. */
const convergenceMaxMs = 2000;
const rampS = 30;
const tickMs = 100;
const region = 'region';

const createRow = (id: string, dataCentre: string, service: string): MemberRow => ({
  id,
  dataCentre,
  service,
  region,
  incarnation: 1,
  address: '127.0.0.1',
  gossipPort: 0,
  linkPort: 0,
  callPort: 0,
  backendVersion: 'v1',
  state: MemberState.Alive,
  configVersion: 1,
  stateChangedAtMs: 0,
});

const createSection = ({ name, priority }: ServiceWorkload): [string, ServiceSection] => [
  name,
  {
    service: {
      name,
      priority,
      slots: slotsPerServer,
      stableVersion: 'v1',
      connectionsMax: 130,
      failureLimitPercent: 2,
      latencyLimitMs: 250,
    },
    routes: [],
    moves: [],
  },
];

const createMemberView = (rows: readonly MemberRow[]): MemberView => {
  const byId = new Map(rows.map((row) => [row.id, row]));
  const services = new Set(rows.map(({ service }) => service));
  const byService = new Map(
    [...services].map((name) => [name, rows.filter(({ service }) => service === name)]),
  );
  return {
    selfId: '',
    fleetSize: () => rows.length,
    get: (id) => byId.get(id),
    all: () => rows,
    ofService: (service) => byService.get(service) ?? [],
  };
};

/**
 * One data centre leaves and comes back under the load of one user.
 *
 * @example
 * const result = await new EvacuationRun(user, productPolicy, timeline, 1).run();
 */
export class EvacuationRun {
  readonly #schedule = new EventScheduler();

  readonly #random: SeededRandom;

  readonly #nodes = new Map<string, SimulatedNode>();

  readonly #figures = new Map<string, ServiceStatistics>();

  #sequence = 0;

  constructor(
    private readonly user: UserWorkload,
    policy: TrafficPolicy,
    private readonly timeline: EvacuationTimeline,
    seed: number,
  ) {
    this.#random = new SeededRandom(seed);
    const rows = user.services.flatMap(({ name, upstreams }) =>
      upstreams.map((dataCentre, index) => createRow(`${name}-${index}`, dataCentre, name)),
    );
    const members = createMemberView(rows);
    const snapshot = this.#createSnapshot(1, DataCentreState.InService, -rampS * 1000);
    rows.forEach((row, index) => {
      const service = user.services.find(({ name }) => name === row.service)!;
      const nodeSeed = seed * 1000 + index;
      this.#nodes.set(
        row.id,
        new SimulatedNode(row, service, members, snapshot, this.#schedule, nodeSeed, policy),
      );
    });
  }

  async run(): Promise<EvacuationResult> {
    const { evacuateAtMs: outAtMs, stopAfterMs, restoreAtMs: backAtMs, endAtMs } = this.timeline;
    this.user.services.forEach((service) => this.#offer(service));
    this.#tick();
    this.#schedule.scheduleAfter(outAtMs, () => this.#distribute(2, DataCentreState.Evacuated));
    let lastBeginMs = outAtMs;
    const leaving = [...this.#nodes.values()].filter(
      ({ row }) => row.dataCentre === this.user.evacuatedDataCentre,
    );
    this.#schedule.scheduleAfter(outAtMs + stopAfterMs, () =>
      leaving.forEach(({ server }) => server.stop()),
    );
    this.#schedule.scheduleAfter(backAtMs, () => {
      lastBeginMs = Math.max(outAtMs, ...leaving.map(({ server }) => server.lastCallStartedAtMs));
      leaving.forEach(({ server }) => server.startCold());
      this.#distribute(3, DataCentreState.InService);
    });
    await this.#schedule.run(endAtMs);
    this.#schedule.restoreClocks();
    return {
      services: this.#figures,
      lastNewRequestS: (lastBeginMs - outAtMs) / 1000,
      doubledRequests: this.#countDoubled(),
      coldOverloadMax: Math.max(...leaving.map(({ server }) => server.overloadMax)),
    };
  }

  #createSnapshot(configVersion: number, state: DataCentreState, changedAtMs: number): Snapshot {
    return {
      configVersion,
      manifestDigest: '',
      mesh: {
        dataCentres: this.user.dataCentres.map((name) => {
          const isLeaving = name === this.user.evacuatedDataCentre;
          return {
            name,
            region,
            state: isLeaving ? state : DataCentreState.InService,
            rampS,
            changedAtUnixMs: this.#schedule.toUnixMs(isLeaving ? changedAtMs : -rampS * 1000),
          };
        }),
        routeIndex: [],
      },
      services: new Map(this.user.services.map(createSection)),
    };
  }

  #distribute(configVersion: number, state: DataCentreState): void {
    const snapshot = this.#createSnapshot(configVersion, state, this.#schedule.nowMs);
    for (const node of this.#nodes.values()) {
      this.#schedule.scheduleAfter(this.#random.next() * convergenceMaxMs, () =>
        node.setSnapshot(snapshot),
      );
    }
  }

  #tick(): void {
    for (const node of this.#nodes.values()) node.tick(this.#schedule.nowMs);
    this.#schedule.scheduleAfter(tickMs, () => this.#tick());
  }

  #offer(service: ServiceWorkload): void {
    const figures = new ServiceStatistics();
    this.#figures.set(service.name, figures);
    const ratePerMs =
      (offeredLoadShare * service.upstreams.length * slotsPerServer) / service.serviceMs;
    const entries = [...this.#nodes.values()];
    const context = {
      schedule: this.#schedule,
      nodes: this.#nodes,
      interDataCentreDelayMs: this.user.interDataCentreDelayMs,
    };
    const offerNext = (): void => {
      this.#schedule.scheduleAfter(-Math.log(1 - this.#random.next()) / ratePerMs, offerNext);
      this.#sequence += 1;
      const isMeasured = this.#schedule.nowMs >= this.timeline.measureFromMs;
      const isAfterReturn = this.#schedule.nowMs >= this.timeline.restoreAtMs;
      const entry = entries[this.#random.nextInt(entries.length)]!;
      new SimulatedCall(context, entry, service, this.#sequence, (isAnswered, latencyMs) => {
        if (isMeasured) figures.record(isAnswered, latencyMs, isAfterReturn);
      }).start();
    };
    this.#schedule.scheduleAfter(1, offerNext);
  }

  #countDoubled(): number {
    const seen = new Set<string>();
    let doubled = 0;
    const unsafe = this.user.services.filter(({ isIdempotent }) => !isIdempotent);
    for (const { row, server } of this.#nodes.values()) {
      if (!unsafe.some(({ name }) => name === row.service)) continue;
      for (const id of server.startedRequestIds) {
        if (seen.has(id)) doubled += 1;
        seen.add(id);
      }
    }
    return doubled;
  }
}
