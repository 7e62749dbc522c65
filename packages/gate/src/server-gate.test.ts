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

class GateRig {
  readonly orders = new SampleOrders(
    { long: 300, short: 100, urgent: 250, usual: 200 },
    { usual: 2 },
  );

  readonly book = new LocalServerTracker('e');

  readonly gate = new ServerGate({
    dataCentre: 'dc',
    serverTracker: this.book,
    orders: this.orders,
    heartbeatIntervalMs,
  });

  hear(changes: Partial<BackendHeartbeat> = {}): void {
    this.book.recordHeartbeat(createHeartbeat(changes), monotonicNowMs());
    this.gate.run({ nowMs: monotonicNowMs() });
  }

  admit(changes: Partial<CallOpen> = {}, leftMs = 500): Promise<AdmissionResult> {
    const { signal } = new AbortController();
    return this.gate.admit(sampleOpen(changes), monotonicNowMs() + leftMs, signal);
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
const admitMany = async (rig: GateRig, count: number): Promise<number> => {
  let admitted = 0;
  for (let call = 0; call < count; call++) {
    const result = await rig.admit();
    if (result.kind === 'permit') {
      admitted += 1;
      result.permit.release({ hasFailed: false, latencyMs: 1 });
    }
  }
  return admitted;
};

test('no more calls run than the server has slots, and waiting ones go by what is due', async () => {
  // Guards against a server that never answers what it cannot queue.
  const rig = new GateRig();
  rig.hear();
  const permits = await Promise.all([rig.admit(), rig.admit(), rig.admit()]);
  const order: string[] = [];
  const low = rig.admit({ route: 'long' }).then((result) => order.push('long') && result);
  const high = rig.admit({ route: 'short' }).then((result) => order.push('short') && result);
  await clock.advance(10);
  permits.forEach((result) => permitOf(result).release({ hasFailed: false, latencyMs: 10 }));
  await Promise.all([low, high]);
  assert.deepEqual(order, ['short', 'long']);
  assert.equal(rig.gate.load().runningCalls, 2);
});

/** Order in which a call of route `usual` and a later one of `urgent` start on a full server. */
const startOrder = async (laterByMs: number): Promise<string[]> => {
  const rig = new GateRig();
  rig.hear();
  const [first] = await Promise.all([rig.admit(), rig.admit(), rig.admit()]);
  const order: string[] = [];
  const start = async (route: string): Promise<void> => {
    const result = await rig.admit({ route });
    order.push(route);
    permitOf(result).release({ hasFailed: false, latencyMs: 10 });
  };
  const usual = start('usual');
  await clock.advance(laterByMs);
  const urgent = start('urgent');
  permitOf(first).release({ hasFailed: false, latencyMs: 10 });
  await Promise.all([usual, urgent]);
  return order;
};

test('a more important call starts before a less important one with a shorter target', async () => {
  // Guards against payments that wait behind lookups on a full server.
  assert.deepEqual(await startOrder(0), ['urgent', 'usual']);
});

test('a less important call that waited long enough goes before important ones', async () => {
  // Guards against a kind of request that starves behind a more important one.
  assert.deepEqual(await startOrder(100), ['usual', 'urgent']);
});

test('while others wait, a call gets a slot only if most of its route would end in its time', async () => {
  // Guards against slots spent on calls that their callers will have given up before the answer.
  const rig = new GateRig();
  rig.hear();
  for (let call = 0; call < 30; call++) {
    const latencyMs = call % 2 === 0 ? 40 : 80;
    permitOf(await rig.admit({ route: 'long' })).release({ hasFailed: false, latencyMs });
  }
  const permits = await Promise.all([rig.admit(), rig.admit(), rig.admit()]);
  // 55 ms are left: enough for the mean share of a free slot, too little for most calls.
  assert.equal(reasonOf(await rig.admit({ route: 'long' }, 55)), RefusalReason.DeadlineUnreachable);
  permits.forEach((result) => permitOf(result).release({ hasFailed: false, latencyMs: 60 }));
  assert.equal(reasonOf(await rig.admit({ route: 'long' }, 55)), undefined);
});

test('an idle server is asked although its last calls took too long', async () => {
  // Guards against a server that was slow once and is refused to every call from then on.
  const rig = new GateRig();
  rig.hear();
  for (let call = 0; call < 3; call++) {
    permitOf(await rig.admit({}, 5000)).release({ hasFailed: false, latencyMs: 2000 });
  }
  assert.equal(reasonOf(await rig.admit()), RefusalReason.DeadlineUnreachable);
  await clock.advance(1100);
  rig.hear({ sequence: 2 });
  const permit = permitOf(await rig.admit());
  assert.equal(reasonOf(await rig.admit()), RefusalReason.DeadlineUnreachable);
  permit.release({ hasFailed: false, latencyMs: 20 });
});

test('a drain refuses waiting calls at once', async () => {
  // Guards against a call that waited before the drain and reaches the server after it.
  const rig = new GateRig();
  rig.hear();
  await Promise.all([rig.admit(), rig.admit(), rig.admit()]);
  const waiting = rig.admit();
  rig.hear({ sequence: 2, state: BackendServerState.Draining });
  assert.equal(reasonOf(await waiting), RefusalReason.Draining);
  assert.equal(reasonOf(await rig.admit()), RefusalReason.Draining);
});

test('an evacuated data centre takes nothing, and returns as if cold until it is heard', async () => {
  // Guards against new work after an evacuation, and a return at full load of cold servers.
  const rig = new GateRig();
  rig.hear();
  rig.orders.change({ evacuatedDataCentres: new Set(['dc']) });
  assert.equal(reasonOf(await rig.admit()), RefusalReason.DataCentreEvacuated);
  rig.gate.run({ nowMs: monotonicNowMs() });
  await clock.advance(300);
  rig.orders.change({ evacuatedDataCentres: new Set() });
  rig.gate.run({ nowMs: monotonicNowMs() });
  const admitted = await admitMany(rig, 40);
  assert.equal(admitted, 20);
  await clock.advance(200);
  rig.hear({ sequence: 2 });
  assert.equal(await admitMany(rig, 40), 40);
});

test('a cold server gets its rate in every second, whatever it got while warm', async () => {
  // Guards against a server that turns cold under load and is crashed by its share of a warm one.
  const rig = new GateRig();
  rig.hear();
  await admitMany(rig, 30);
  rig.hear({ sequence: 2, coldRemainingMs: 5000 });
  assert.equal(await admitMany(rig, 10), 0);
  await clock.advance(1100);
  let inOneSecond = 0;
  for (let step = 0; step < 20; step++) {
    inOneSecond += await admitMany(rig, 5);
    await clock.advance(50);
  }
  assert.ok(inOneSecond <= 20, `${inOneSecond} admitted in a second`);
  assert.ok(inOneSecond >= 18, `${inOneSecond} admitted in a second`);
});

test('a silent server gets nothing until it is heard again', async () => {
  // Guards against calls that hang at a server without power.
  const rig = new GateRig();
  rig.hear();
  await clock.advance(3 * heartbeatIntervalMs);
  assert.equal(reasonOf(await rig.admit()), RefusalReason.NotReady);
  rig.hear({ sequence: 2 });
  assert.equal(reasonOf(await rig.admit()), undefined);
});

test('a server that refused a connection gets nothing until it is heard or a second passed', async () => {
  // Guards against calls to a crashed server, whose heartbeats have not yet been missed.
  const rig = new GateRig();
  rig.hear();
  await clock.advance(100);
  rig.gate.noteConnectionRefused();
  assert.equal(reasonOf(await rig.admit()), RefusalReason.NotReady);
  await clock.advance(1100);
  assert.equal(reasonOf(await rig.admit()), undefined);
});

test('a call whose time cannot suffice is refused at once with a hint', async () => {
  // Guards against a hopeless call that is held until its deadline.
  const rig = new GateRig();
  rig.hear();
  for (let call = 0; call < 3; call++) {
    permitOf(await rig.admit()).release({ hasFailed: false, latencyMs: 100 });
  }
  const result = await rig.admit({}, 20);
  assert.equal(reasonOf(result), RefusalReason.DeadlineUnreachable);
  assert.ok(result.kind === 'refusal' && (result.refusal.retryAfterMs ?? 0) > 0);
});

test('under overload the wait is bounded by the target, so that what is served is in time', async () => {
  // Guards against a line in which every call waits until its answer is late or nobody waits.
  const rig = new GateRig();
  rig.hear();
  for (let call = 0; call < 20; call++) {
    permitOf(await rig.admit({ route: 'short' })).release({ hasFailed: false, latencyMs: 60 });
  }
  const results = Array.from({ length: 12 }, () => rig.admit({ route: 'short' }, 5000));
  await clock.advance(10);
  assert.ok(rig.gate.load().queuedCalls <= 2, `${rig.gate.load().queuedCalls} calls wait`);
  const last = await results.at(-1)!;
  assert.equal(reasonOf(last), RefusalReason.QueueFull);
  assert.ok(last.kind === 'refusal' && (last.refusal.retryAfterMs ?? 0) >= 20);
});

test('short calls wait behind short calls although long ones run', async () => {
  // Guards against a check within a run that is refused, and fails that run, for the length of others.
  const rig = new GateRig();
  rig.hear();
  for (let call = 0; call < 40; call++) {
    const route = call % 4 === 0 ? 'urgent' : 'short';
    const latencyMs = route === 'short' ? 20 : 120;
    permitOf(await rig.admit({ route })).release({ hasFailed: false, latencyMs });
  }
  const long = await Promise.all([0, 1, 2].map(() => rig.admit({ route: 'urgent' }, 5000)));
  long.forEach(permitOf);
  const short = [0, 1, 2, 3, 4, 5, 6].map(() => rig.admit({ route: 'short' }, 5000));
  await clock.advance(1);
  assert.equal(rig.gate.load().queuedCalls, short.length);
});

test('the call of another service is refused', async () => {
  // Guards against a request that runs on another service at a reused address.
  const rig = new GateRig();
  rig.hear();
  assert.equal(reasonOf(await rig.admit({ service: 't' })), RefusalReason.WrongVersion);
});
