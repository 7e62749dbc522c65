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
  /**
   * Calls before this time are not counted, because the whole fleet starts at once under full load.
   */
  readonly measureFromMs: number;
  readonly evacuateAtMs: number;
  /** Time from the evacuation until the backend servers of the data centre stop. */
  readonly stopAfterMs: number;
  readonly restoreAtMs: number;
  readonly endAtMs: number;
}

/** Result of a run. */
export interface EvacuationResult {
  readonly services: ReadonlyMap<string, ServiceStatistics>;
  /** Time from the evacuation to the last start of a call in the data centre. */
  readonly lastNewRequestS: number;
  readonly doubledRequests: number;
  /** Highest ratio of running calls to the calls that a restored cold server can handle. */
  readonly coldOverloadMax: number;
}

/** Time within which a new configuration is active on each node; the target is 8 s. */
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
    revision: () => 0,
    fleetSize: () => rows.length,
    get: (id) => byId.get(id),
    all: () => rows,
    ofService: (service) => byService.get(service) ?? [],
  };
};

/**
 * Simulates the evacuation and restoration of a data centre under the load of one user.
 *
 * @example
 * const result = await new EvacuationRun(user, productPolicy, timeline, 1).run();
 */
export class EvacuationRun {
  readonly #schedule = new EventScheduler();

  readonly #random: SeededRandom;

  readonly #nodes = new Map<string, SimulatedNode>();

  readonly #statistics = new Map<string, ServiceStatistics>();

  #sequence = 0;

  constructor(
    private readonly user: UserWorkload,
    policy: TrafficPolicy,
    private readonly timeline: EvacuationTimeline,
    seed: number,
  ) {
    this.#random = new SeededRandom(seed);
    const rows = user.services.flatMap(({ name, serverDataCentres }) =>
      serverDataCentres.map((dataCentre, index) => createRow(`${name}-${index}`, dataCentre, name)),
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
    const { evacuateAtMs, stopAfterMs, restoreAtMs, endAtMs } = this.timeline;
    this.user.services.forEach((service) => this.#offerCalls(service));
    this.#tick();
    this.#schedule.scheduleAfter(evacuateAtMs, () =>
      this.#distribute(2, DataCentreState.Evacuated),
    );
    let lastCallStartedAtMs = evacuateAtMs;
    const evacuatedNodes = [...this.#nodes.values()].filter(
      ({ row }) => row.dataCentre === this.user.evacuatedDataCentre,
    );
    this.#schedule.scheduleAfter(evacuateAtMs + stopAfterMs, () =>
      evacuatedNodes.forEach(({ server }) => server.stop()),
    );
    this.#schedule.scheduleAfter(restoreAtMs, () => {
      lastCallStartedAtMs = Math.max(
        evacuateAtMs,
        ...evacuatedNodes.map(({ server }) => server.lastCallStartedAtMs),
      );
      evacuatedNodes.forEach(({ server }) => server.startCold());
      this.#distribute(3, DataCentreState.InService);
    });
    await this.#schedule.run(endAtMs);
    this.#schedule.restoreClocks();
    return {
      services: this.#statistics,
      lastNewRequestS: (lastCallStartedAtMs - evacuateAtMs) / 1000,
      doubledRequests: this.#countDoubledRequests(),
      coldOverloadMax: Math.max(...evacuatedNodes.map(({ server }) => server.overloadMax)),
    };
  }

  #createSnapshot(configVersion: number, state: DataCentreState, changedAtMs: number): Snapshot {
    return {
      configVersion,
      manifestDigest: '',
      mesh: {
        dataCentres: this.user.dataCentres.map((name) => {
          const isEvacuatedDataCentre = name === this.user.evacuatedDataCentre;
          return {
            name,
            region,
            state: isEvacuatedDataCentre ? state : DataCentreState.InService,
            rampS,
            changedAtUnixMs: this.#schedule.toUnixMs(
              isEvacuatedDataCentre ? changedAtMs : -rampS * 1000,
            ),
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

  #offerCalls(service: ServiceWorkload): void {
    const statistics = new ServiceStatistics();
    this.#statistics.set(service.name, statistics);
    const ratePerMs =
      (offeredLoadShare * service.serverDataCentres.length * slotsPerServer) / service.serviceMs;
    const entryNodes = [...this.#nodes.values()];
    const context = {
      schedule: this.#schedule,
      nodes: this.#nodes,
      interDataCentreDelayMs: this.user.interDataCentreDelayMs,
    };
    const offerNext = (): void => {
      this.#schedule.scheduleAfter(-Math.log(1 - this.#random.next()) / ratePerMs, offerNext);
      this.#sequence += 1;
      const isMeasured = this.#schedule.nowMs >= this.timeline.measureFromMs;
      const isAfterRestore = this.#schedule.nowMs >= this.timeline.restoreAtMs;
      const entry = entryNodes[this.#random.nextInt(entryNodes.length)]!;
      new SimulatedCall(context, entry, service, this.#sequence, (isAnswered, latencyMs) => {
        if (isMeasured) statistics.record(isAnswered, latencyMs, isAfterRestore);
      }).start();
    };
    this.#schedule.scheduleAfter(1, offerNext);
  }

  #countDoubledRequests(): number {
    const seen = new Set<string>();
    let doubled = 0;
    const nonIdempotentServices = this.user.services.filter(({ isIdempotent }) => !isIdempotent);
    for (const { row, server } of this.#nodes.values()) {
      if (!nonIdempotentServices.some(({ name }) => name === row.service)) continue;
      for (const id of server.startedRequestIds) {
        if (seen.has(id)) doubled += 1;
        seen.add(id);
      }
    }
    return doubled;
  }
}
