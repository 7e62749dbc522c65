import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RegisterKind } from '@sequoiafield/types';
import { headRegisterKey } from './index.js';
import { MembershipFleet } from './test-support/membership-fleet.js';

const nodesCount = 81;
const flappingCount = 40;
const flapIntervalMs = 700;
const headsCount = 12;
/** Half of the time in which a change has to be in force; the rest is left for fetching it. */
const headDeadlineMs = 1000;
const headIntervalMs = 400;
const stepMs = 20;

const fleet = new MembershipFleet();

after(() => fleet.stop());

/** Makes backend servers go down and up by turns while it advances the clock. */
class ServerFlapping {
  #isDown = false;

  #nextAtMs = 0;

  async advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      if (monotonicNowMs() >= this.#nextAtMs) this.#flap();
      await fleet.clock.advance(stepMs, stepMs);
    }
  }

  #flap(): void {
    this.#nextAtMs = monotonicNowMs() + flapIntervalMs;
    this.#isDown = !this.#isDown;
    const server = this.#isDown ? '' : 'rounds';
    const version = this.#isDown ? '' : 'v1';
    for (const { membership } of fleet.nodes.slice(0, flappingCount)) {
      membership.announceBackendServer(server, version);
    }
  }
}

const isKnownEverywhere = (rank: number): boolean =>
  fleet.nodes.every(
    ({ membership: { registers } }) =>
      (registers.read(RegisterKind.Head, headRegisterKey)?.rank ?? 0) >= rank,
  );

test('a head reaches every node in time while backend servers go down and up', async () => {
  // Guards against a configuration that waits behind the changes of members for the byte budget.
  await fleet.start(nodesCount);
  const flapping = new ServerFlapping();
  await flapping.advance(2000);
  const delaysMs: number[] = [];
  for (let rank = 1; rank <= headsCount; rank++) {
    const { registers } = fleet.nodes[nodesCount - rank]!.membership;
    const publishedAtMs = monotonicNowMs();
    registers.publish({ kind: RegisterKind.Head, key: headRegisterKey, rank, body: null });
    while (!isKnownEverywhere(rank)) await flapping.advance(stepMs);
    delaysMs.push(Math.round(monotonicNowMs() - publishedAtMs));
    await flapping.advance(headIntervalMs);
  }
  assert.ok(Math.max(...delaysMs) <= headDeadlineMs, `reached all after ${delaysMs.join(', ')} ms`);
});
