import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { monotonicNowMs } from '@sequoiafield/tables';
import { pauseClock, sampleOpen, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import {
  BackendServerState,
  RefusalOutcome,
  RefusalReason,
  type AdmissionResult,
  type BackendHeartbeat,
  type CallOpen,
  type Permit,
} from '@sequoiafield/types';
import { LocalServerTracker, ServerGate } from './index.js';

const slots = 3;
const heartbeatIntervalMs = 1000;

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const createHeartbeat = (changes: Partial<BackendHeartbeat> = {}): BackendHeartbeat => ({
  instanceId: 'i-1',
  bornAtUnixMs: 1000,
  sequence: 1,
  service: 's',
  endpoint: 'e',
  dataCentre: 'dc',
  version: 'v1',
  slots,
  state: BackendServerState.Ready,
  coldRemainingMs: 0,
  ...changes,
});

class GateFixture {
  readonly orders = new SampleOrders(
    { long: 300, short: 100, urgent: 250, usual: 200 },
    { usual: 2 },
  );

  readonly serverTracker = new LocalServerTracker({
    endpoint: 'e',
    service: 's',
    heartbeatIntervalMs,
  });

  readonly gate = new ServerGate({
    dataCentre: 'dc',
    serverTracker: this.serverTracker,
    orders: this.orders,
  });

  recordHeartbeat(changes: Partial<BackendHeartbeat> = {}): void {
    this.serverTracker.recordHeartbeat(createHeartbeat(changes), monotonicNowMs());
    this.gate.run({ nowMs: monotonicNowMs() });
  }

  admit(changes: Partial<CallOpen> = {}, remainingMs = 500): Promise<AdmissionResult> {
    const { signal } = new AbortController();
    const routes = this.orders.current().configuration?.routes ?? [];
    // The calling node states the rank of the route as the priority of the call.
    const priority = routes.find(({ name }) => name === changes.route)?.rank ?? 2;
    const open = sampleOpen({ priority, ...changes });
    return this.gate.admit(open, monotonicNowMs() + remainingMs, signal);
  }
}

const permitOf = (result: AdmissionResult): Permit => {
  assert.equal(result.kind, 'permit');
  return result.permit;
};

const reasonOf = (result: AdmissionResult): RefusalReason | undefined => {
  if (result.kind === 'permit') return undefined;
  assert.equal(result.refusal.outcome, RefusalOutcome.NotRun);
  return result.refusal.reason;
};

/** Admits and releases calls one after the other; returns how many were admitted. */
const admitSequentially = async (fixture: GateFixture, count: number): Promise<number> => {
  let admitted = 0;
  for (let call = 0; call < count; call++) {
    const result = await fixture.admit();
    if (result.kind === 'permit') {
      admitted += 1;
      result.permit.release({ hasFailed: false, latencyMs: 1 });
    }
  }
  return admitted;
};

test('no more calls run than the server has slots, and queued ones start by due time', async () => {
  // Guards against more calls than the server has slots for: it never answers calls that it cannot
  // queue.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  const permits = await Promise.all([fixture.admit(), fixture.admit(), fixture.admit()]);
  const order: string[] = [];
  const low = fixture.admit({ route: 'long' }).then((result) => order.push('long') && result);
  const high = fixture.admit({ route: 'short' }).then((result) => order.push('short') && result);
  await clock.advance(10);
  permits.forEach((result) => permitOf(result).release({ hasFailed: false, latencyMs: 10 }));
  await Promise.all([low, high]);
  assert.deepEqual(order, ['short', 'long']);
  assert.equal(fixture.gate.load().runningCalls, 2);
});

/** Order in which a call of route `usual` and a later one of `urgent` start on a full server. */
const startOrderOfRoutes = async (
  laterByMs: number,
  usualChanges: Partial<CallOpen> = {},
): Promise<string[]> => {
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  const [first] = await Promise.all([fixture.admit(), fixture.admit(), fixture.admit()]);
  const order: string[] = [];
  const start = async (route: string, changes: Partial<CallOpen> = {}): Promise<void> => {
    const result = await fixture.admit({ route, ...changes });
    order.push(route);
    permitOf(result).release({ hasFailed: false, latencyMs: 10 });
  };
  const usual = start('usual', usualChanges);
  await clock.advance(laterByMs);
  const urgent = start('urgent');
  permitOf(first).release({ hasFailed: false, latencyMs: 10 });
  await Promise.all([usual, urgent]);
  return order;
};

test('a more important call starts before a less important one with a shorter target', async () => {
  // Guards against payments that are queued behind lookups on a full server.
  assert.deepEqual(await startOrderOfRoutes(0), ['urgent', 'usual']);
});

test('the priority of an account takes precedence over that of the route', async () => {
  // Guards against a gate that orders the calls of an important account by their routes.
  assert.deepEqual(await startOrderOfRoutes(0, { priority: 0 }), ['usual', 'urgent']);
});

test('a less important call that waited long enough starts before important ones', async () => {
  // Guards against a route whose calls starve behind those of a more important one.
  assert.deepEqual(await startOrderOfRoutes(100), ['usual', 'urgent']);
});

test('while others are queued, a call gets a slot only if most calls of its route would end in time', async () => {
  // Guards against slots spent on calls whose callers time out before the answer.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  for (let call = 0; call < 30; call++) {
    const latencyMs = call % 2 === 0 ? 40 : 80;
    permitOf(await fixture.admit({ route: 'long' })).release({ hasFailed: false, latencyMs });
  }
  const permits = await Promise.all([fixture.admit(), fixture.admit(), fixture.admit()]);
  // 55 ms suffice while a slot is free (a share of the mean), but not for most calls of the route.
  assert.equal(
    reasonOf(await fixture.admit({ route: 'long' }, 55)),
    RefusalReason.DeadlineUnreachable,
  );
  permits.forEach((result) => permitOf(result).release({ hasFailed: false, latencyMs: 60 }));
  assert.equal(reasonOf(await fixture.admit({ route: 'long' }, 55)), undefined);
});

test('an idle server gets a call although its last calls took too long', async () => {
  // Guards against refusing every call to a server from the time that it was slow once.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  for (let call = 0; call < 3; call++) {
    permitOf(await fixture.admit({}, 5000)).release({ hasFailed: false, latencyMs: 2000 });
  }
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.DeadlineUnreachable);
  await clock.advance(1100);
  fixture.recordHeartbeat({ sequence: 2 });
  const permit = permitOf(await fixture.admit());
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.DeadlineUnreachable);
  permit.release({ hasFailed: false, latencyMs: 20 });
});

test('a drain refuses queued calls at once', async () => {
  // Guards against a call that was queued before the drain and reaches the server after it.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  await Promise.all([fixture.admit(), fixture.admit(), fixture.admit()]);
  const queued = fixture.admit();
  fixture.recordHeartbeat({ sequence: 2, state: BackendServerState.Draining });
  assert.equal(reasonOf(await queued), RefusalReason.Draining);
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.Draining);
});

test('an evacuated data centre gets no calls; after it the server counts as cold for a cold start', async () => {
  // Guards against new work after an evacuation, and against full load on servers that turned cold
  // during it and whose heartbeat from before arrives after it.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  fixture.orders.change({ evacuatedDataCentres: new Set(['dc']) });
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.DataCentreEvacuated);
  fixture.gate.run({ nowMs: monotonicNowMs() });
  await clock.advance(300);
  fixture.orders.change({ evacuatedDataCentres: new Set() });
  fixture.gate.run({ nowMs: monotonicNowMs() });
  const admitted = await admitSequentially(fixture, 40);
  assert.equal(admitted, 20);
  await clock.advance(1100);
  fixture.recordHeartbeat({ sequence: 2 });
  assert.equal(await admitSequentially(fixture, 40), 20);
  await clock.advance(2100);
  assert.equal(await admitSequentially(fixture, 40), 40);
});

test('a cold server gets at most its rate in every second, including calls while warm', async () => {
  // Guards against a server that turns cold under load and crashes under the rate of a warm server.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  await admitSequentially(fixture, 30);
  fixture.recordHeartbeat({ sequence: 2, coldRemainingMs: 5000 });
  assert.equal(await admitSequentially(fixture, 10), 0);
  await clock.advance(1100);
  let inOneSecond = 0;
  for (let step = 0; step < 20; step++) {
    inOneSecond += await admitSequentially(fixture, 5);
    await clock.advance(50);
  }
  assert.ok(inOneSecond <= 20, `${inOneSecond} admitted in a second`);
  assert.ok(inOneSecond >= 18, `${inOneSecond} admitted in a second`);
});

test('a server that has ended counts as cold until its cold start is over', async () => {
  // Guards against full load on a server that started again and whose first heartbeat is late, also
  // after a late heartbeat of its former incarnation.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  fixture.gate.recordServerEnded();
  await clock.advance(1200);
  fixture.recordHeartbeat({ sequence: 2 });
  assert.equal(await admitSequentially(fixture, 40), 20);
  await clock.advance(2900);
  fixture.recordHeartbeat({ sequence: 3 });
  assert.equal(await admitSequentially(fixture, 40), 20);
  await clock.advance(300);
  assert.equal(await admitSequentially(fixture, 40), 40);
});

test('the first heartbeat of a later incarnation lifts the cold limit', async () => {
  // Guards against a limit on a server that has said that it is warm.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  fixture.gate.recordServerEnded();
  fixture.recordHeartbeat({ bornAtUnixMs: 2000 });
  assert.equal(await admitSequentially(fixture, 40), 40);
});

test('a silent server gets no calls until its next heartbeat', async () => {
  // Guards against calls that get no answer from a server without power.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  await clock.advance(3 * heartbeatIntervalMs);
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.NotReady);
  fixture.recordHeartbeat({ sequence: 2 });
  assert.equal(reasonOf(await fixture.admit()), undefined);
});

test('a server that refused a connection gets no calls for a second or until its heartbeat', async () => {
  // Guards against calls to a crashed server whose heartbeats are not missing for long enough yet.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  await clock.advance(100);
  fixture.gate.recordConnectFailed();
  assert.equal(reasonOf(await fixture.admit()), RefusalReason.NotReady);
  await clock.advance(1100);
  assert.equal(reasonOf(await fixture.admit()), undefined);
});

test('a call whose deadline cannot be met is refused at once with a retry hint', async () => {
  // Guards against a call that is held until its deadline although it cannot end in time.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  for (let call = 0; call < 3; call++) {
    permitOf(await fixture.admit()).release({ hasFailed: false, latencyMs: 100 });
  }
  const result = await fixture.admit({}, 20);
  assert.equal(reasonOf(result), RefusalReason.DeadlineUnreachable);
  assert.ok(result.kind === 'refusal' && (result.refusal.retryAfterMs ?? 0) > 0);
});

test('under overload the wait is bounded by the target, so that admitted calls are in time', async () => {
  // Guards against a queue in which every call waits until its answer is late or its caller timed out.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  for (let call = 0; call < 20; call++) {
    permitOf(await fixture.admit({ route: 'short' })).release({ hasFailed: false, latencyMs: 60 });
  }
  const results = Array.from({ length: 12 }, () => fixture.admit({ route: 'short' }, 5000));
  await clock.advance(10);
  assert.ok(fixture.gate.load().queuedCalls <= 2, `${fixture.gate.load().queuedCalls} calls wait`);
  const last = await results.at(-1)!;
  assert.equal(reasonOf(last), RefusalReason.QueueFull);
  assert.ok(last.kind === 'refusal' && (last.refusal.retryAfterMs ?? 0) >= 20);
});

test('short calls are queued behind short calls although long ones run', async () => {
  // Guards against refusing a short check within a run, which fails that run, because calls of other
  // routes take long.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  for (let call = 0; call < 40; call++) {
    const route = call % 4 === 0 ? 'urgent' : 'short';
    const latencyMs = route === 'short' ? 20 : 120;
    permitOf(await fixture.admit({ route })).release({ hasFailed: false, latencyMs });
  }
  const long = await Promise.all([0, 1, 2].map(() => fixture.admit({ route: 'urgent' }, 5000)));
  long.forEach(permitOf);
  const short = [0, 1, 2, 3, 4, 5, 6].map(() => fixture.admit({ route: 'short' }, 5000));
  await clock.advance(1);
  assert.equal(fixture.gate.load().queuedCalls, short.length);
});

test('a call to another service is refused', async () => {
  // Guards against a request that runs on another service at a reused address.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  assert.equal(reasonOf(await fixture.admit({ service: 't' })), RefusalReason.WrongVersion);
});

/** Offers calls at a rate to a server that sheds all calls until a time; returns what reached it. */
const offerToSheddingServer = async (
  fixture: GateFixture,
  durationMs: number,
  isShedding: () => boolean,
): Promise<{ offered: number; shed: number; served: number }> => {
  const counts = { offered: 0, shed: 0, served: 0 };
  for (let atMs = 0; atMs < durationMs; atMs += 20) {
    counts.offered += 1;
    const result = await fixture.admit();
    if (result.kind === 'permit') {
      const wasShed = isShedding();
      counts[wasShed ? 'shed' : 'served'] += 1;
      result.permit.release({ hasFailed: wasShed, latencyMs: 2, wasShed });
    }
    await clock.advance(20);
  }
  return counts;
};

test('a server that sheds all calls gets a few trials, and all calls again once it serves', async () => {
  // Guards against calls that each spend a retry of the shared budget at a server that sheds them while
  // its health looks good.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  const grey = await offerToSheddingServer(fixture, 2000, () => true);
  // A fifth of the requests is what the retries of a service may be.
  const shedMax = grey.offered / 5;
  assert.ok(grey.shed <= shedMax, `${grey.shed} of ${grey.offered} calls reached the server`);
  fixture.recordHeartbeat({ sequence: 2 });
  await clock.advance(1600);
  const sound = await offerToSheddingServer(fixture, 1000, () => false);
  assert.equal(sound.served, sound.offered);
});

test('a server that sheds two of three calls keeps getting calls', async () => {
  // Guards against pauses of a server that still serves a part of its calls.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  let call = 0;
  const counts = await offerToSheddingServer(fixture, 1000, () => {
    call += 1;
    return call % 3 !== 0;
  });
  assert.equal(counts.shed + counts.served, counts.offered);
});

test('a call that may not wait is refused at once by a server without a free slot', async () => {
  // Guards against calls that wait here while the server beside another node has a free slot.
  const fixture = new GateFixture();
  fixture.recordHeartbeat();
  const [first] = await Promise.all([fixture.admit(), fixture.admit(), fixture.admit()]);
  assert.equal(reasonOf(await fixture.admit({ mayWait: false })), RefusalReason.ServerBusy);
  permitOf(first).release({ hasFailed: false, latencyMs: 10 });
  assert.equal((await fixture.admit({ mayWait: false })).kind, 'permit');
});
