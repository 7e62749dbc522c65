import { SeededRandom } from '@sequoiafield/tables';
import {
  DataCentreState,
  MemberState,
  type MemberRow,
  type MemberView,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';
import { BenchNode } from './bench-node.js';
import { CallRun } from './call-run.js';
import { EventSchedule } from './event-schedule.js';
import type { Policy } from './policy.js';
import { ServiceFigures } from './service-figures.js';
import { offeredShare, slots, type User, type UserService } from './users.js';

/** Times of a run in ms. */
export interface Timeline {
  /** Earlier calls are not counted: the whole fleet starts at once under full load until then. */
  readonly measureFromMs: number;
  readonly outAtMs: number;
  /** The backend servers of the data centre stop this long after it was taken out. */
  readonly stopAfterMs: number;
  readonly backAtMs: number;
  readonly endAtMs: number;
}

/** Result of a run. */
export interface EvacuationResult {
  readonly services: ReadonlyMap<string, ServiceFigures>;
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

const createSection = ({ name, priority }: UserService): [string, ServiceSection] => [
  name,
  {
    service: {
      name,
      priority,
      slots,
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
  readonly #schedule = new EventSchedule();

  readonly #random: SeededRandom;

  readonly #nodes = new Map<string, BenchNode>();

  readonly #figures = new Map<string, ServiceFigures>();

  #sequence = 0;

  constructor(
    private readonly user: User,
    policy: Policy,
    private readonly timeline: Timeline,
    seed: number,
  ) {
    this.#random = new SeededRandom(seed);
    const rows = user.services.flatMap(({ name, upstreams }) =>
      upstreams.map((dataCentre, index) => createRow(`${name}-${index}`, dataCentre, name)),
    );
    const members = createMemberView(rows);
    const snapshot = this.#createSnapshot(1, DataCentreState.In, -rampS * 1000);
    rows.forEach((row, index) => {
      const service = user.services.find(({ name }) => name === row.service)!;
      const nodeSeed = seed * 1000 + index;
      this.#nodes.set(
        row.id,
        new BenchNode(row, service, members, snapshot, this.#schedule, nodeSeed, policy),
      );
    });
  }

  async run(): Promise<EvacuationResult> {
    const { outAtMs, stopAfterMs, backAtMs, endAtMs } = this.timeline;
    this.user.services.forEach((service) => this.#offer(service));
    this.#tick();
    this.#schedule.after(outAtMs, () => this.#distribute(2, DataCentreState.Out));
    let lastBeginMs = outAtMs;
    const leaving = [...this.#nodes.values()].filter(
      ({ row }) => row.dataCentre === this.user.leaving,
    );
    this.#schedule.after(outAtMs + stopAfterMs, () =>
      leaving.forEach(({ server }) => server.stop()),
    );
    this.#schedule.after(backAtMs, () => {
      lastBeginMs = Math.max(outAtMs, ...leaving.map(({ server }) => server.lastBeginMs));
      leaving.forEach(({ server }) => server.startCold());
      this.#distribute(3, DataCentreState.In);
    });
    await this.#schedule.run(endAtMs);
    this.#schedule.release();
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
          const isLeaving = name === this.user.leaving;
          return {
            name,
            region,
            state: isLeaving ? state : DataCentreState.In,
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
      this.#schedule.after(this.#random.next() * convergenceMaxMs, () => node.use(snapshot));
    }
  }

  #tick(): void {
    for (const node of this.#nodes.values()) node.tick(this.#schedule.nowMs);
    this.#schedule.after(tickMs, () => this.#tick());
  }

  #offer(service: UserService): void {
    const figures = new ServiceFigures();
    this.#figures.set(service.name, figures);
    const ratePerMs = (offeredShare * service.upstreams.length * slots) / service.serviceMs;
    const entries = [...this.#nodes.values()];
    const context = {
      schedule: this.#schedule,
      nodes: this.#nodes,
      betweenMs: this.user.betweenMs,
    };
    const offerNext = (): void => {
      this.#schedule.after(-Math.log(1 - this.#random.next()) / ratePerMs, offerNext);
      this.#sequence += 1;
      const isMeasured = this.#schedule.nowMs >= this.timeline.measureFromMs;
      const isAfterReturn = this.#schedule.nowMs >= this.timeline.backAtMs;
      const entry = entries[this.#random.below(entries.length)]!;
      new CallRun(context, entry, service, this.#sequence, (isAnswered, latencyMs) => {
        if (isMeasured) figures.record(isAnswered, latencyMs, isAfterReturn);
      }).start();
    };
    this.#schedule.after(1, offerNext);
  }

  #countDoubled(): number {
    const seen = new Set<string>();
    let doubled = 0;
    const unsafe = this.user.services.filter(({ isIdempotent }) => !isIdempotent);
    for (const { row, server } of this.#nodes.values()) {
      if (!unsafe.some(({ name }) => name === row.service)) continue;
      for (const id of server.begunIds) {
        if (seen.has(id)) doubled += 1;
        seen.add(id);
      }
    }
    return doubled;
  }
}
