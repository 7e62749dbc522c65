import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import fc from 'fast-check';
import { monotonicNowMs, SeededRandom, wallNowUnixMs } from '@sequoiafield/tables';
import { matchSnapshot, pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import {
  DataCentreState,
  MemberState,
  Priority,
  RefusalReason,
  type AttemptReport,
  type DataCentreIntent,
  type MemberRow,
  type Snapshot,
} from '@sequoiafield/types';
import {
  createRouting,
  EjectionStanding,
  MemberStanding,
  type MemberLoads,
  type Routing,
  type RoutingMechanisms,
} from './index.js';

const service = 'lager';
const slots = 10;
const dataCentres = ['near', 'mid', 'far'] as const;

const createRow = (id: string, dataCentre: string): MemberRow => ({
  id,
  dataCentre,
  service,
  region: dataCentre === 'far' ? 'r2' : 'r1',
  incarnation: 1,
  address: '127.0.0.1',
  gossipPort: 1,
  linkPort: 2,
  callPort: 3,
  backendVersion: 'v1',
  state: MemberState.Alive,
  configVersion: 1,
  stateChangedAtMs: 0,
});

const createSnapshot = (changes: Partial<Record<string, Partial<DataCentreIntent>>>): Snapshot => ({
  configVersion: 1,
  manifestDigest: '',
  mesh: {
    dataCentres: dataCentres.map((name) => ({
      name,
      region: name === 'far' ? 'r2' : 'r1',
      state: DataCentreState.In,
      rampS: 30,
      changedAtUnixMs: 0,
      ...changes[name],
    })),
    routeIndex: [],
  },
  services: new Map([
    [
      service,
      {
        service: {
          name: service,
          priority: Priority.Normal,
          stableVersion: 'v1',
          slots,
          connectionsMax: 100,
          failureLimitPercent: 2,
          latencyLimitMs: 250,
        },
        routes: [],
        moves: [],
      },
    ],
  ]),
});

type Answer = Omit<AttemptReport, 'memberId' | 'service'>;

const goodLoad = { runningCalls: 0, queuedCalls: 0, slotsNow: slots };
const goodAnswer: Answer = { hasFailed: false, latencyMs: 10, load: goodLoad };

/** One caller in data centre `near` against two members per data centre. */
class World {
  rows = dataCentres.flatMap((name) => [
    createRow(`${name}-1`, name),
    createRow(`${name}-2`, name),
  ]);

  snapshot = createSnapshot({});

  takenBack = new Set<string>();

  answers = new Map<string, Answer>();

  /** Service time; longer than the time between calls, so that load builds up. */
  serviceMs = new Map<string, number>();

  calls = new Map<string, number>();

  maxRunning = new Map<string, number>();

  create(mechanisms: Partial<RoutingMechanisms>, seed = 1): Routing {
    return createRouting({
      selfId: 'caller',
      dataCentre: 'near',
      region: 'r1',
      snapshot: { current: () => this.snapshot, isServing: () => true, want: () => {} },
      members: {
        selfId: 'caller',
        fleetSize: () => this.rows.length,
        get: (id) => this.rows.find((row) => row.id === id),
        all: () => this.rows,
        ofService: () => this.rows,
      },
      rollout: { isAllowed: (_service, version) => !this.takenBack.has(version) },
      random: new SeededRandom(seed),
      mechanisms,
    });
  }

  use(snapshot: Snapshot): void {
    this.snapshot = snapshot;
  }

  setState(id: string, state: MemberState): void {
    const row = this.rows.find((candidate) => candidate.id === id);
    assert.ok(row);
    row.state = state;
  }

  /** Sends one call each 10 ms for `durationMs` and answers each after its service time. */
  async run(clock: PausedClock, routing: Routing, durationMs: number): Promise<void> {
    const open: { memberId: string; endsAtMs: number }[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 10) {
      routing.systems.forEach((system) => {
        if (atMs % 100 === 0)
          system.run({ nowMs: atMs, nowUnixMs: 0, elapsedMs: 100, wasPaused: false });
      });
      const row = routing.router.choose(service, 'v1', new Set());
      if (row) {
        this.calls.set(row.id, (this.calls.get(row.id) ?? 0) + 1);
        routing.router.begin(row.id);
        open.push({
          memberId: row.id,
          endsAtMs: monotonicNowMs() + (this.serviceMs.get(row.id) ?? 10),
        });
        const running = open.filter(({ memberId }) => memberId === row.id).length;
        this.maxRunning.set(row.id, Math.max(running, this.maxRunning.get(row.id) ?? 0));
      }
      await clock.advance(10);
      for (const ended of open.filter(({ endsAtMs }) => endsAtMs <= monotonicNowMs())) {
        open.splice(open.indexOf(ended), 1);
        const answer = this.answers.get(ended.memberId) ?? goodAnswer;
        routing.router.report({ memberId: ended.memberId, service, ...answer });
      }
    }
  }

  callsAt(prefix: string): number {
    return [...this.calls].reduce((sum, [id, n]) => (id.startsWith(prefix) ? sum + n : sum), 0);
  }
}

const noEjector: RoutingMechanisms['ejector'] = {
  standingOf: () => EjectionStanding.In,
  badnessOf: () => 0,
  begin: () => {},
  report: () => {},
  prune: () => {},
};
const noFilter: RoutingMechanisms['filter'] = { standingOf: () => MemberStanding.Good };
/** Does not fail open: a doubted member gets nothing. */
const strictFilter: RoutingMechanisms['filter'] = {
  standingOf: (row) =>
    row.state === MemberState.Alive ? MemberStanding.Good : MemberStanding.Never,
};
const noWeights: RoutingMechanisms['weights'] = { weightOf: () => 1 };

/** Believes reports only: `near-1` always reports that it is idle. */
const reportedLoads: MemberLoads = {
  begin: () => {},
  report: () => {},
  ratioOf: (memberId) => (memberId === 'near-1' ? 0 : 0.5),
  prune: () => {},
};

interface Fault {
  readonly name: string;
  readonly arrange: (world: World) => void;
  /** Calls or load that break the promise; 0 when it is kept. */
  readonly countViolations: (world: World) => number;
  readonly without: Partial<RoutingMechanisms>;
}

const excess = (count: number, allowed: number): number => Math.max(0, count - allowed);

const faults: readonly Fault[] = [
  {
    name: 'data centre out',
    arrange: (world) => world.use(createSnapshot({ near: { state: DataCentreState.Out } })),
    countViolations: (world) => world.callsAt('near'),
    without: { weights: noWeights },
  },
  {
    name: 'data centre back for under 3 s of a ramp of 30 s',
    arrange: (world) => world.use(createSnapshot({ near: { changedAtUnixMs: wallNowUnixMs() } })),
    // Its full share would be 300 calls; the ramp allows 15 on average.
    countViolations: (world) => excess(world.callsAt('near'), 40),
    without: { weights: noWeights },
  },
  ...[MemberState.Joining, MemberState.Draining, MemberState.Left, MemberState.Dead].map(
    (state): Fault => ({
      name: `member is ${MemberState[state]}`,
      arrange: (world) => world.setState('near-1', state),
      countViolations: (world) => world.callsAt('near-1'),
      without: { filter: noFilter },
    }),
  ),
  ...(
    [
      ['refuses as draining before gossip tells', RefusalReason.Draining],
      ['refuses connections', RefusalReason.ConnectFailed],
      ['loses its links', RefusalReason.LinkLost],
    ] as const
  ).map(([name, refusalReason]): Fault => ({
    name: `member ${name}`,
    arrange: (world) =>
      world.answers.set('near-1', { ...goodAnswer, refusalReason, hasFailed: true }),
    // One call, and one trial per back-off of about 1 s and 2 s.
    countViolations: (world) => excess(world.callsAt('near-1'), 4),
    without: { ejector: noEjector },
  })),
  {
    name: 'member fails every call',
    arrange: (world) => world.answers.set('near-1', { ...goodAnswer, hasFailed: true }),
    countViolations: (world) => excess(world.callsAt('near-1'), 6),
    without: { ejector: noEjector },
  },
  {
    name: 'member answers nothing',
    arrange: (world) => {
      world.answers.set('near-1', { hasFailed: true, latencyMs: 200 });
      world.serviceMs.set('near-1', 200);
    },
    // Calls on their way when the first ones time out, and the trials.
    countViolations: (world) => excess(world.callsAt('near-1'), 5),
    without: { ejector: noEjector },
  },
  {
    name: 'member reports no load but is slow',
    arrange: (world) => world.serviceMs.set('near-1', 1000),
    countViolations: (world) => excess(world.maxRunning.get('near-1') ?? 0, slots),
    without: { loads: reportedLoads },
  },
];

let clock: PausedClock;
beforeEach(() => {
  clock = pauseClock();
});
afterEach(() => clock.resume());

faults.forEach((fault) => {
  // Guards against new work where the fault forbids it; the second run shows that the named
  // mechanism is what prevents it.
  test(`routing fault: ${fault.name}`, async () => {
    const observe = async (mechanisms: Partial<RoutingMechanisms>): Promise<World> => {
      const world = new World();
      fault.arrange(world);
      await world.run(clock, world.create(mechanisms), 3000);
      return world;
    };
    const world = await observe({});
    const unguarded = await observe(fault.without);
    matchSnapshot(import.meta.filename, fault.name, {
      calls: Object.fromEntries([...world.calls].sort()),
      violations: fault.countViolations(world),
      violationsWithout: fault.countViolations(unguarded),
    });
    assert.equal(fault.countViolations(world), 0);
    assert.ok(fault.countViolations(unguarded) > 0, 'the mechanism makes no difference');
  });
});

test('a taken-back version gets no call, even when every other way is closed', () => {
  // Guards against failing open to a bad backend version.
  const world = new World();
  const routing = world.create({});
  assert.ok(routing.router.choose(service, 'v1', new Set()));
  world.takenBack.add('v1');
  assert.equal(routing.router.choose(service, 'v1', new Set()), undefined);
});

test('a member that leaves between two ticks gets no call', () => {
  // Guards against subsets that outlive the state they were built from.
  const world = new World();
  const { router } = world.create({});
  router.choose(service, 'v1', new Set());
  world.rows.forEach((row) => world.setState(row.id, MemberState.Draining));
  assert.equal(router.choose(service, 'v1', new Set()), undefined);
});

const memberStates = [
  MemberState.Joining,
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Draining,
  MemberState.Left,
  MemberState.Dead,
];

const forbiddenStates = new Set([MemberState.Joining, MemberState.Draining, MemberState.Left]);

const anyMemberState = fc.record({
  state: fc.constantFrom(...memberStates),
  reasons: fc.array(fc.constantFrom(undefined, ...Object.values(RefusalReason)), { maxLength: 4 }),
});

/** Every mix of states, data centres out and own evidence. */
const choiceProperty = (mechanisms: Partial<RoutingMechanisms>) =>
  fc.property(
    fc.array(anyMemberState, { minLength: 6, maxLength: 6 }),
    fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
    fc.integer(),
    (members, areOut, seed) => {
      const world = new World();
      const isOut = (name: string): boolean =>
        areOut[dataCentres.findIndex((dataCentre) => dataCentre === name)] ?? false;
      world.snapshot = createSnapshot(
        Object.fromEntries(
          dataCentres.map((name) => [
            name,
            { state: isOut(name) ? DataCentreState.Out : DataCentreState.In },
          ]),
        ),
      );
      const { router } = world.create(mechanisms, seed);
      world.rows.forEach((row, index) => {
        world.setState(row.id, members[index]!.state);
        members[index]!.reasons.forEach((refusalReason) => {
          router.report({
            memberId: row.id,
            service,
            hasFailed: true,
            latencyMs: 1,
            refusalReason,
          });
        });
      });
      const isPermitted = (row: MemberRow): boolean =>
        !forbiddenStates.has(row.state) && !isOut(row.dataCentre);
      const chosen = router.choose(service, 'v1', new Set());
      if (world.rows.some(isPermitted)) return chosen !== undefined && isPermitted(chosen);
      return chosen === undefined;
    },
  );

test('a permitted member is chosen whenever one exists, and never a forbidden one', () => {
  // Guards against both kinds of wrong failing open: to nothing, and to a member that leaves.
  const options = { seed: 20261204, numRuns: 500 };
  fc.assert(choiceProperty({}), options);
  assert.ok(fc.check(choiceProperty({ filter: noFilter }), options).failed);
  assert.ok(fc.check(choiceProperty({ weights: noWeights }), options).failed);
  assert.ok(fc.check(choiceProperty({ filter: strictFilter }), options).failed);
});

test('retry storm: a service that fails every call gets few more attempts than calls', () => {
  // Guards against retries that multiply the load of a failing service.
  const countAttempts = (mechanisms: Partial<RoutingMechanisms>): number => {
    const { router } = new World().create(mechanisms);
    let attempts = 0;
    for (let call = 0; call < 1000; call += 1) {
      router.recordFirstAttempt(service);
      attempts += 1;
      for (let retry = 0; retry < 2 && router.takeRetry(service, 10); retry += 1) attempts += 1;
    }
    return attempts;
  };
  assert.ok(countAttempts({}) <= 1110);
  const noBudget = { recordFirstAttempt: () => {}, take: () => true };
  assert.equal(countAttempts({ budget: noBudget }), 3000);
});
