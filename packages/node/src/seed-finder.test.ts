import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicNowMs, SeededRandom } from '@sequoiafield/tables';
import { pauseClock } from '@sequoiafield/test-kit';
import { MemberState, type MemberRow, type MemberView, type Snapshot } from '@sequoiafield/types';
import { SeedFinder } from './seed-finder.js';

const fleetSize = 7700;
const tickMs = 100;
const dataCentres = Array.from({ length: 7 }, (_, index) => ({ name: `dc-${index}` }));
const membership = { join: () => Promise.resolve(), pingSeeds: () => undefined };

const rowOf = (id: string, dataCentre: string): MemberRow =>
  ({ id, dataCentre, state: MemberState.Alive }) as MemberRow;

/** Most reads of the seeds in one second while nodes start; `known` says whom a node knows. */
const findPeak = async (
  seconds: number,
  snapshot: Snapshot | undefined,
  known: (atMs: number) => readonly MemberRow[],
): Promise<{ peak: number; lastReadAtMs: number }> => {
  const clock = pauseClock();
  const bySecond: number[] = [];
  let lastReadAtMs = 0;
  const readSeeds = () => {
    lastReadAtMs = monotonicNowMs();
    const second = Math.floor(lastReadAtMs / 1000);
    bySecond[second] = (bySecond[second] ?? 0) + 1;
    return Promise.resolve([]);
  };
  const rows = (id: string, dataCentre: string): readonly MemberRow[] => [
    rowOf(id, dataCentre),
    ...known(monotonicNowMs()),
  ];
  const random = new SeededRandom(1);
  const finders = Array.from({ length: fleetSize }, (_, index) => {
    const [selfId, dataCentre] = [`n${index}`, `dc-${index % 7}`];
    const members = {
      selfId,
      fleetSize: () => rows(selfId, dataCentre).length,
      all: () => rows(selfId, dataCentre),
    } as unknown as MemberView;
    const view = {
      current: () => snapshot,
      isServing: () => false,
      requestSection: () => undefined,
    };
    return new SeedFinder(dataCentre, members, view, membership, readSeeds, random, fleetSize);
  });
  try {
    for (let atMs = 0; atMs < seconds * 1000; atMs += tickMs) {
      const tick = { nowMs: atMs, nowUnixMs: Date.now(), elapsedMs: tickMs, wasPaused: false };
      finders.forEach((finder) => finder.run(tick));
      await clock.advance(tickMs, tickMs);
    }
  } finally {
    clock.resume();
  }
  return { peak: Math.max(0, ...Array.from(bySecond, (reads) => reads ?? 0)), lastReadAtMs };
};

const snapshotOf = { mesh: { dataCentres, routeIndex: [] } } as unknown as Snapshot;

test('7,700 nodes without a peer read the seeds within the rate of the store', async () => {
  // Guards against reads that grow with the fleet when all of it starts at once.
  const cold = await findPeak(90, undefined, () => []);
  assert.ok(cold.peak <= 400, `${cold.peak} reads in one second`);
  const restarted = await findPeak(60, snapshotOf, () => []);
  assert.ok(restarted.peak <= 400, `${restarted.peak} reads in one second with a snapshot`);
});

test('a node that knows a peer reads no seeds of its own data centre any more', async () => {
  // Guards against reads that go on after the fleet has formed.
  const peers = dataCentres.map(({ name }) => rowOf(`peer of ${name}`, name));
  const { lastReadAtMs } = await findPeak(30, undefined, (atMs) => (atMs < 5000 ? [] : peers));
  assert.ok(lastReadAtMs <= 5000, `last read at ${lastReadAtMs} ms`);
});
