import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { monotonicNowMs, SeededRandom, type System } from '@sequoiafield/tables';
import { pauseClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  type HeadRecord,
  type MemberRow,
  type MemberView,
  type Snapshot,
} from '@sequoiafield/types';
import { HeadPoller } from './head-poller.js';
import type { PeerExchange } from './peer-exchange.js';
import type { PeerSelector } from './peer-selector.js';
import { SectionCache } from './section-cache.js';
import { SeedRecordRefresher } from './seed-record-refresher.js';
import { SnapshotFetcher } from './snapshot-fetcher.js';
import type { SnapshotHolder } from './snapshot-holder.js';
import type { ConfigurationStore } from './configuration-store.js';
import { StrictSnapshotValidator } from './strict-snapshot-validator.js';
import { fakeSectionChecker } from './test-fleet/fake-configuration-store.js';

const expectedFleetSize = 7700;
/** Capacity of the store for all reads together: about 2,000 per second. */
const storeReadsPerS = 2000;
const tickMs = 100;

/** Counts the reads of each second. */
class ReadMeter {
  readonly bySecond: number[] = [];

  count(): void {
    const second = Math.floor(monotonicNowMs() / 1000);
    this.bySecond[second] = (this.bySecond[second] ?? 0) + 1;
  }

  get peak(): number {
    return Math.max(0, ...Array.from(this.bySecond, (reads) => reads ?? 0));
  }
}

/** Creates the member view of a node that knows no other member. */
const createLoneMemberView = (index: number): MemberView => {
  const self = { id: `n${index}`, dataCentre: `dc-${index % 7}`, state: MemberState.Alive };
  const row = { ...self, address: `10.0.0.${index}`, gossipPort: 1, incarnation: Date.now() };
  return {
    selfId: self.id,
    revision: () => 0,
    fleetSize: () => 1,
    get: () => row as MemberRow,
    all: () => [row as MemberRow],
    ofService: () => [],
  };
};

const runAll = async (create: (index: number, random: SeededRandom) => System, seconds: number) => {
  const clock = pauseClock();
  try {
    const random = new SeededRandom(1);
    const systems = Array.from({ length: expectedFleetSize }, (_, index) => create(index, random));
    for (let atMs = 0; atMs < seconds * 1000; atMs += tickMs) {
      const tick = { nowMs: atMs, nowUnixMs: Date.now(), elapsedMs: tickMs, wasPaused: false };
      systems.forEach((system) => system.run(tick));
      await clock.advance(tickMs, tickMs);
    }
  } finally {
    clock.resume();
  }
};

test('7,700 nodes that start without peers read the head within the rate of the store', async () => {
  // Guards against first reads that are spread only over the members known so far, of which a cold
  // start has none.
  const meter = new ReadMeter();
  const configurationStore = {
    readHead: () => Promise.resolve(meter.count()),
  } as unknown as ConfigurationStore;
  const options = { expectedFleetSize, onHead: () => undefined, onFailure: () => undefined };
  await runAll((index, random) => {
    const poller = new HeadPoller(
      configurationStore,
      createLoneMemberView(index),
      random,
      new SilentLogger(),
      options,
    );
    poller.start();
    return poller;
  }, 30);
  assert.ok(meter.peak <= 600, `${meter.peak} head reads in one second`);
});

test('7,700 nodes that start without peers check the seeds within the rate of the store', async () => {
  // Guards against each node checking the seeds at the rate of a data centre with a single node.
  const meter = new ReadMeter();
  const configurationStore = {
    readSeeds: () => Promise.resolve(meter.count()),
    writeSeeds: () => Promise.resolve(true),
  } as unknown as ConfigurationStore;
  const options = { expectedFleetSize, dataCentres: () => [], onSeedsRead: () => undefined };
  await runAll(
    (index, random) =>
      new SeedRecordRefresher(configurationStore, createLoneMemberView(index), random, options),
    60,
  );
  assert.ok(meter.peak <= 400, `${meter.peak} reads in one second`);
});

test('7,700 nodes without a version fetch it with few store reads', async () => {
  // Guards against every node reading every section from the store in a cold start.
  const clock = pauseClock();
  const meter = new ReadMeter();
  const random = new SeededRandom(1);
  const bodies = new Map(
    ['mesh', ...Array.from({ length: 33 }, (_, index) => `s${index}`)].map((name) => [
      name,
      JSON.stringify({ name, dataCentres: [], routes: [] }),
    ]),
  );
  const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');
  const sections = Object.fromEntries([...bodies].map(([name, body]) => [name, digestOf(body)]));
  const manifest = { configVersion: 1, sections };
  const manifestDigest = digestOf(fakeSectionChecker.toCanonicalJson(manifest));
  const head = { configVersion: 1, manifestDigest } as HeadRecord;
  const configurationStore = {
    readManifest: () => Promise.resolve(meter.count()).then(() => manifest),
    readSection: (name: string) =>
      Promise.resolve(meter.count()).then(() => ({ body: bodies.get(name) })),
  } as unknown as ConfigurationStore;
  const caches = Array.from({ length: expectedFleetSize }, () => new SectionCache());
  const cacheOf = (peer: unknown): SectionCache => caches[Number(peer)] as SectionCache;
  const exchange = {
    askManifest: (peer: unknown) => {
      const delta = cacheOf(peer).deltaFor(manifestDigest, 0);
      return delta ? Promise.resolve(delta) : Promise.reject(new Error('not held'));
    },
    askSections: (peer: unknown, digests: readonly string[]) =>
      Promise.resolve(
        new Map(
          digests.flatMap((digest) => {
            const held = cacheOf(peer).section(digest);
            return held ? [[digest, held.body] as const] : [];
          }),
        ),
      ),
  } as unknown as PeerExchange;
  const peers = {
    selectFor: () => [0, 1, 2].map(() => random.nextInt(expectedFleetSize)),
  } as unknown as PeerSelector;
  const members = { fleetSize: () => expectedFleetSize } as MemberView;
  const fetched: Snapshot[] = [];
  try {
    caches.forEach((cache) => {
      const fetcher = new SnapshotFetcher({
        members,
        random,
        cache,
        exchange,
        peers,
        holder: { current: undefined } as SnapshotHolder,
        validator: new StrictSnapshotValidator(fakeSectionChecker),
        configurationStore,
        checker: fakeSectionChecker,
        wantedServices: () => undefined,
        expectedFleetSize,
      });
      const origin = { senderId: undefined, isStoreFirst: false, isSuperseded: () => false };
      fetcher.fetch(head, origin).then((snapshot) => fetched.push(snapshot), assert.ifError);
    });
    await clock.advance(60_000, 50);
  } finally {
    clock.resume();
  }
  assert.equal(fetched.length, expectedFleetSize);
  assert.ok(meter.peak <= storeReadsPerS / 4, `${meter.peak} reads in one second`);
});
