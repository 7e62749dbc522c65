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

/**
 * Runs a fleet that starts at once and returns the peak of seed reads per second and the time of
 * the last one. `peersAt` returns the peers that each node knows at a time.
 */
const measureSeedReads = async (
  seconds: number,
  snapshot: Snapshot | undefined,
  peersAt: (atMs: number) => readonly MemberRow[],
): Promise<{ peak: number; lastReadAtMs: number }> => {
  const clock = pauseClock();
  const readsBySecond: number[] = [];
  let lastReadAtMs = 0;
  const readSeeds = () => {
    lastReadAtMs = monotonicNowMs();
    const second = Math.floor(lastReadAtMs / 1000);
    readsBySecond[second] = (readsBySecond[second] ?? 0) + 1;
    return Promise.resolve([]);
  };
  const membersOf = (id: string, dataCentre: string): readonly MemberRow[] => [
    rowOf(id, dataCentre),
    ...peersAt(monotonicNowMs()),
  ];
  const random = new SeededRandom(1);
  const finders = Array.from({ length: fleetSize }, (_, index) => {
    const [selfId, dataCentre] = [`n${index}`, `dc-${index % 7}`];
    const members = {
      selfId,
      fleetSize: () => membersOf(selfId, dataCentre).length,
      all: () => membersOf(selfId, dataCentre),
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
  return { peak: Math.max(0, ...Array.from(readsBySecond, (reads) => reads ?? 0)), lastReadAtMs };
};

const sevenDataCentresSnapshot = { mesh: { dataCentres, routeIndex: [] } } as unknown as Snapshot;

test('7,700 nodes without a peer read the seeds at no more than 400 reads per second', async () => {
  // Guards against an overload of the store when the whole fleet starts at once and the read rate
  // grows with the fleet.
  const withoutSnapshot = await measureSeedReads(90, undefined, () => []);
  assert.ok(withoutSnapshot.peak <= 400, `${withoutSnapshot.peak} reads in one second`);
  const withSnapshot = await measureSeedReads(60, sevenDataCentresSnapshot, () => []);
  assert.ok(withSnapshot.peak <= 400, `${withSnapshot.peak} reads in one second with a snapshot`);
});

test('a node that knows a peer in every data centre stops reading the seeds', async () => {
  // Guards against reads that continue after the fleet has formed.
  const peers = dataCentres.map(({ name }) => rowOf(`peer of ${name}`, name));
  const { lastReadAtMs } = await measureSeedReads(30, undefined, (atMs) =>
    atMs < 5000 ? [] : peers,
  );
  assert.ok(lastReadAtMs <= 5000, `last read at ${lastReadAtMs} ms`);
});
