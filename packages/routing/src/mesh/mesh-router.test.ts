import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SeededRandom } from '@sequoiafield/tables';
import { pauseClock, sampleMember, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  RefusalReason,
  type HostRoute,
  type MemberRow,
  type MemberView,
} from '@sequoiafield/types';
import { DestinationSplitters, FleetRetryBudget, HostRouteTable, MeshRouter } from '../index.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const route = (pathPrefix: string, changes: Partial<HostRoute> = {}): HostRoute => ({
  name: pathPrefix,
  host: 'shop.example',
  pathPrefix,
  isIdempotent: true,
  isPublic: false,
  hasLargeBodies: false,
  timeoutMs: 500,
  attemptsMax: 2,
  targetLatencyMs: 200,
  rank: 1,
  destinations: [{ service: 's', weight: 1 }],
  ...changes,
});

test('the longest prefix of a host matches, at slashes only', () => {
  // Guards against a shorter prefix that matches requests of a longer one, and against /a/ that matches
  // /ab.
  const table = new HostRouteTable([route('/a/'), route('/a/b/'), route('/c/', { host: 'x' })]);
  assert.equal(table.find('shop.example', '/a/b/c')?.pathPrefix, '/a/b/');
  assert.equal(table.find('Shop.Example:80', '/a/x')?.pathPrefix, '/a/');
  assert.equal(table.find('shop.example', '/ab'), undefined);
  assert.equal(table.find('shop.example', '/c/1'), undefined);
});

test('a split is exact to within one request at any time', () => {
  // Guards against random shares, which miss a limit of 0.1 when there are few requests.
  const splitters = new DestinationSplitters();
  const splitRoute = route('/a/', {
    destinations: [
      { service: 's', weight: 90 },
      { service: 't', weight: 10 },
      { service: 'u', weight: 0 },
    ],
  });
  const counts = new Map<string | undefined, number>();
  for (let sent = 1; sent <= 50; sent++) {
    const service = splitters.next({ ...splitRoute });
    counts.set(service, (counts.get(service) ?? 0) + 1);
    assert.ok(Math.abs((counts.get('t') ?? 0) - sent * 0.1) < 1);
  }
  assert.equal(counts.get('u'), undefined);
});

test('retries of a whole fleet stay under its limit, also when every request fails', async () => {
  // Guards against nodes that each use the whole slack of the fleet.
  const limit = { ratio: 0.2, slack: 64, windowMs: 10_000 };
  const budgets = Array.from({ length: 14 }, () => new FleetRetryBudget(limit, () => 14));
  let requests = 0;
  let retries = 0;
  for (let step = 0; step < 100; step++) {
    for (const budget of budgets) {
      budget.recordRequest('s');
      requests += 1;
      while (budget.takeRetry('s')) retries += 1;
    }
    await clock.advance(90);
  }
  assert.ok(retries <= 0.2 * requests + 64, `${retries} retries of ${requests}`);
  assert.ok(retries > 0.08 * requests, `${retries} retries of ${requests}`);
});

const createRouter = (rows: readonly MemberRow[]): [MeshRouter, SampleOrders] => {
  const orders = new SampleOrders();
  let revision = 0;
  const members: MemberView = {
    // Tests change rows in place, so each look counts as a change.
    revision: () => {
      revision += 1;
      return revision;
    },
    selfId: 'self',
    fleetSize: () => rows.length,
    get: (id) => rows.find((row) => row.id === id),
    all: () => rows,
    ofService: (service) => rows.filter((row) => row.service === service),
  };
  const router = new MeshRouter({
    selfId: 'self',
    dataCentre: 'near',
    orders,
    members,
    retryLimit: { ratio: 0.2, slack: 64, windowMs: 10_000 },
    random: new SeededRandom(1),
  });
  return [router, orders];
};

test('nodes that know few members after a restart keep the limit of the fleet', async () => {
  // Guards against restarted nodes that each take the slack of the whole fleet for their own.
  const limit = { ratio: 0.2, slack: 430, windowMs: 10_000 };
  const restarted = Array.from({ length: 100 }, () => new FleetRetryBudget(limit, () => 2));
  let requests = 0;
  let retries = 0;
  for (let call = 0; call < 8; call++) {
    for (const budget of restarted) {
      budget.recordRequest('s');
      requests += 1;
      if (budget.takeRetry('s')) retries += 1;
    }
  }
  assert.ok(retries <= 0.2 * requests + 430, `${retries} retries of ${requests}`);
});

test('the near data centre is preferred while it has free slots, then the far one', () => {
  // Guards against needless traffic between data centres, and against calls to a full near server.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
  const load = { runningCalls: 9, queuedCalls: 12, slotsNow: 9, meanServiceMs: 40 };
  router.begin('a');
  router.report({ memberId: 'a', service: 's', hasFailed: false, latencyMs: 40, load });
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
});

test('a call with many bytes stays near longer than one with few', () => {
  // Guards against paying for large bodies between data centres to save a few milliseconds.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const load = { runningCalls: 9, queuedCalls: 4, slotsNow: 9, meanServiceMs: 50 };
  const answered = { memberId: 'a', service: 's', hasFailed: false, latencyMs: 40, load };
  router.choose('s', 'v1', new Set());
  for (const [name, bodyBytes] of [['add', 20_000] as const, ['look', 400] as const]) {
    router.begin('a');
    router.report({ ...answered, route: name, bodyBytes });
  }
  assert.equal(router.choose('s', 'v1', new Set(), 'look')?.id, 'b');
  assert.equal(router.choose('s', 'v1', new Set(), 'add')?.id, 'a');
});

test('a server that joins gets calls although the known ones are fast and idle', () => {
  // Guards against a server that was started for its capacity and stays unused.
  const rows = [sampleMember('a'), sampleMember('b'), sampleMember('new')];
  const [router] = createRouter(rows);
  const load = { runningCalls: 1, queuedCalls: 0, slotsNow: 9, meanServiceMs: 10 };
  for (const memberId of ['a', 'b']) {
    router.choose('s', 'v1', new Set());
    router.begin(memberId);
    router.report({ memberId, service: 's', hasFailed: false, latencyMs: 50, load });
  }
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'new');
  router.begin('new');
  assert.notEqual(router.choose('s', 'v1', new Set())?.id, 'new', 'one call shows how fast it is');
});

test('a member that cannot be reached or takes no work is paused for a short time', async () => {
  // Guards against calls that time out on an unreachable machine one after the other.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const report = { memberId: 'a', service: 's', hasFailed: true, latencyMs: 1 };
  router.choose('s', 'v1', new Set());
  router.begin('a');
  router.report({ ...report, refusalReason: RefusalReason.ConnectFailed });
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
  await clock.advance(300);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
});

test('a member that leaves calls without an answer gets none for a while', async () => {
  // Guards against packets that are lost one way: the link stands, no call is answered, and a member
  // without running calls and reports looks idle.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const unanswered = {
    ...{ memberId: 'a', service: 's', hasFailed: true, latencyMs: 500 },
    refusalReason: RefusalReason.DeadlinePassed,
  };
  router.choose('s', 'v1', new Set());
  router.begin('a');
  router.report(unanswered);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a', 'one call may have met a slow server');
  router.begin('a');
  router.report(unanswered);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
  await clock.advance(300);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
});

test('calls that end early or with an answer of the member do not pause it', () => {
  // Guards against members that are avoided because callers give up, or because one call was slow.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const load = { runningCalls: 1, queuedCalls: 0, slotsNow: 9, meanServiceMs: 40 };
  const ended = { memberId: 'a', service: 's', hasFailed: false };
  router.choose('s', 'v1', new Set());
  for (let call = 0; call < 4; call++) {
    router.begin('a');
    router.report({ ...ended, latencyMs: 500, refusalReason: RefusalReason.DeadlinePassed });
    router.begin('a');
    router.report({ ...ended, latencyMs: 40, load });
    router.begin('a');
    router.report({ ...ended, latencyMs: 20, refusalReason: RefusalReason.Cancelled });
  }
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
});

test('a member that is full for a route is paused for this route only', async () => {
  // Guards against a call that every full server refuses in turn before its caller gets a refusal.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const full = {
    service: 's',
    hasFailed: false,
    latencyMs: 3,
    refusalReason: RefusalReason.QueueFull,
  };
  for (const [memberId, retryAfterMs] of [['a', 90] as const, ['b', 60] as const]) {
    assert.equal(router.retryAfterMs('s', 'v1', 'look'), undefined);
    assert.equal(router.choose('s', 'v1', new Set(), 'look')?.id, memberId);
    router.begin(memberId);
    router.report({ ...full, memberId, route: 'look', retryAfterMs });
  }
  assert.equal(router.choose('s', 'v1', new Set(), 'look'), undefined);
  assert.equal(router.retryAfterMs('s', 'v1', 'look'), 60);
  assert.equal(router.choose('s', 'v1', new Set(), 'add')?.id, 'a');
  await clock.advance(30);
  assert.equal(router.choose('s', 'v1', new Set(), 'look')?.id, 'a');
});

test('a member that failed and got no call since is tried again', async () => {
  // Guards against a server that recovered and stays unused while others have free slots.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const load = {
    runningCalls: 0,
    queuedCalls: 0,
    slotsNow: 9,
    meanServiceMs: 20,
    failureRatio: 0.6,
  };
  router.choose('s', 'v1', new Set());
  router.begin('a');
  router.report({ memberId: 'a', service: 's', hasFailed: true, latencyMs: 1, load });
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
  await clock.advance(5000);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
});

test('a member that was slow and got no call since is tried again', async () => {
  // Guards against a server that was slow once and stays unused while others have free slots.
  const [router] = createRouter([sampleMember('a'), sampleMember('b', { dataCentre: 'far' })]);
  const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 9, meanServiceMs: 600 };
  router.choose('s', 'v1', new Set());
  router.begin('a');
  router.report({ memberId: 'a', service: 's', hasFailed: false, latencyMs: 600, load });
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
  await clock.advance(8000);
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'a');
});

test('members of an evacuated data centre, of another version or tried before are not chosen', () => {
  // Guards against round trips to nodes that are certain to refuse the call.
  const rows = [
    sampleMember('a'),
    sampleMember('b', { dataCentre: 'far' }),
    sampleMember('c', { backendVersion: 'v2' }),
    sampleMember('d', { state: MemberState.Draining }),
  ];
  const [router, orders] = createRouter(rows);
  orders.change({ evacuatedDataCentres: new Set(['near']) });
  assert.equal(router.choose('s', 'v1', new Set())?.id, 'b');
  assert.equal(router.choose('s', 'v1', new Set(['b'])), undefined);
});
