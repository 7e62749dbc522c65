import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { logEvents, type LogEvent } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';
import { pauseClock, sampleOpen, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import { BackendServerState, CapacityMode } from '@sequoiafield/types';
import { LocalServerTracker, ServerGate } from './index.js';

const slots = 6;
const serviceMs = 50;
const knee = 2;

let clock: PausedClock;
beforeEach(() => {
  clock = pauseClock();
});
afterEach(() => clock.resume());

/** Gate with a server whose throughput falls beyond two running calls. */
class OverloadedServer {
  readonly logged: LogEvent[] = [];

  readonly tracker = new LocalServerTracker({
    ...{ endpoint: 'e', service: 's', heartbeatIntervalMs: 1000 },
  });

  readonly gate: ServerGate;

  runningMax = 0;

  #running = 0;

  constructor(configured: CapacityMode, capacityMode?: CapacityMode) {
    const orders = new SampleOrders({ route: 5000 });
    const { configuration } = orders.current();
    const service = configuration!.services.get('s')!;
    const services = new Map([['s', { ...service, capacityMode: configured }]]);
    orders.change({ configuration: { ...configuration!, services } });
    const logger = { log: (event: LogEvent) => this.logged.push(event), linesDropped: 0 };
    this.gate = new ServerGate({
      ...{ dataCentre: 'dc', serverTracker: this.tracker, orders, capacityMode, logger },
    });
  }

  announce(bornAtUnixMs: number): void {
    this.tracker.recordHeartbeat(
      {
        ...{ instanceId: 'i', bornAtUnixMs, sequence: monotonicNowMs(), service: 's' },
        ...{ endpoint: 'e', dataCentre: 'dc', version: 'v1', slots, coldRemainingMs: 0 },
        state: BackendServerState.Ready,
      },
      monotonicNowMs(),
    );
    this.gate.run({ nowMs: monotonicNowMs() });
  }

  /** Sends calls from `callers` callers, each one after the other, for a time. */
  async load(callers: number, durationMs: number): Promise<void> {
    const untilMs = monotonicNowMs() + durationMs;
    const loops = Array.from({ length: callers }, () => this.#callUntil(untilMs));
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
      this.announce(1);
      await clock.advance(500);
    }
    await clock.advance(3000);
    await Promise.all(loops);
  }

  async #callUntil(untilMs: number): Promise<void> {
    while (monotonicNowMs() < untilMs) {
      const { signal } = new AbortController();
      const open = sampleOpen({ route: 'route' });
      const result = await this.gate.admit(open, monotonicNowMs() + 60_000, signal);
      if (result.kind === 'permit') {
        this.#running += 1;
        this.runningMax = Math.max(this.runningMax, this.#running);
        const latencyMs =
          10 * Math.round((serviceMs * (1 + 2 * Math.max(0, this.#running / knee - 1))) / 10);
        await new Promise((resolve) => {
          setTimeout(resolve, latencyMs);
        });
        this.#running -= 1;
        result.permit.release({ hasFailed: false, latencyMs });
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }
}

test('a learned limit holds back calls, is reported and logged, and ends with its server', async () => {
  // Guards against a server that gets as many calls as its slots though fewer make it slow, and against
  // a limit that its successor inherits.
  const server = new OverloadedServer(CapacityMode.Learned);
  server.announce(1);
  await server.load(1, 3000);
  await server.load(10, 10_000);
  const { slotsNow } = server.gate.load();
  assert.ok(slotsNow <= 3, `limit ${slotsNow}`);
  server.runningMax = 0;
  await server.load(10, 2000);
  assert.ok(server.runningMax < slots);
  assert.ok(server.logged.includes(logEvents.learnedLimitChanged));
  assert.ok(server.logged.length <= 4);
  server.announce(2);
  assert.equal(server.gate.load().slotsNow, slots);
});

test('a declared capacity stays at the slots, as do all if the settings say so', async () => {
  // Guards against a change for deployments whose operators state the capacity.
  for (const server of [
    new OverloadedServer(CapacityMode.Declared),
    new OverloadedServer(CapacityMode.Learned, CapacityMode.Declared),
  ]) {
    server.announce(1);
    await server.load(1, 1000);
    await server.load(10, 4000);
    assert.equal(server.gate.load().slotsNow, slots);
    assert.equal(server.gate.capacity.speed(), 1);
    assert.equal(server.runningMax, slots);
    assert.deepEqual(server.logged, []);
  }
});
