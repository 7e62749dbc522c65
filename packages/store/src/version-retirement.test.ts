import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { parseFolderFiles, parseHead, parseManifest } from '@sequoiafield/config';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import type { HeadRecord } from '@sequoiafield/types';
import fc from 'fast-check';
import { ConfigRepository, StoreFault, MemoryStore, storeKeys } from './index.js';

let clock: PausedClock;
before(() => {
  clock = pauseClock();
});
after(() => clock.resume());

const retention = { retainedVersions: 2, retentionMs: 0 };
const callsPerRunMax = 28;

/** Creates a configuration whose services have `slots` slots; equal numbers give equal sections. */
const configure = (slots: number, serviceCount = 1) => {
  const texts = Array.from(
    { length: serviceCount },
    (_, index) =>
      `[service s${index}]\npriority = normal\nstable_version = v1\nslots = ${slots}\n` +
      'connections_max = 110\nfailure_limit_percent = 2\nlatency_limit_ms = 250\n',
  );
  return parseFolderFiles('conf', [{ name: 'a.ini', text: texts.join('') }]).configuration;
};

const request = (operationId: string, slots: number, serviceCount?: number) => ({
  configuration: configure(slots, serviceCount),
  author: 'ada',
  operationId,
});

/** Fails if the head names a manifest or section that is absent. */
const checkHead = (store: MemoryStore): void => {
  const head = store.peek(storeKeys.head);
  if (head === undefined) return;
  const { manifestDigest } = parseHead(head);
  const manifest = store.peek(storeKeys.manifest(manifestDigest));
  assert.ok(manifest, 'the manifest of the head is missing');
  for (const [name, digest] of Object.entries(parseManifest(manifest).sections)) {
    assert.ok(store.peek(storeKeys.section(digest)), `section ${name} of the head is missing`);
  }
};

const storedKeys = (store: MemoryStore, prefix: string): string[] =>
  [...store.written.keys()].filter((key) => key.startsWith(prefix) && store.peek(key));

/**
 * Store whose calls take a varying number of microtasks, so that operators interleave; checks the head
 * after each write.
 */
class CheckedStore extends MemoryStore {
  constructor(
    private readonly ticks: Iterator<number>,
    faults: Iterator<StoreFault | undefined>,
    private readonly isTouchIgnored: boolean,
  ) {
    super(() => faults.next().value as StoreFault | undefined);
  }

  override async get(key: string) {
    await this.#wait();
    return super.get(key);
  }

  override async compareAndSwap(key: string, revision: number, value: string) {
    await this.#wait();
    const isTouch = revision > 0 && key.startsWith(storeKeys.section(''));
    if (isTouch && this.isTouchIgnored) return { kind: 'written' as const, revision };
    return super.compareAndSwap(key, revision, value).finally(() => checkHead(this));
  }

  override async compareAndDelete(key: string, revision: number) {
    await this.#wait();
    return super.compareAndDelete(key, revision).finally(() => checkHead(this));
  }

  async #wait(): Promise<void> {
    const count = this.ticks.next().value as number;
    for (let tick = 0; tick < count; tick += 1) await undefined;
  }
}

const runConcurrentOperators = async (
  store: MemoryStore,
  slots: Iterator<number>,
): Promise<void> => {
  const operate = async (operator: number): Promise<void> => {
    const repository = new ConfigRepository(store);
    for (let round = 0; round < 6; round += 1) {
      const wanted = request(`${operator}-${round}`, slots.next().value as number);
      const accepted = await repository.accept(wanted).catch((error: Error) => error);
      if (!(accepted instanceof Error)) {
        await repository.retireOldVersions(accepted.head, retention).catch((error: Error) => {
          if (error instanceof assert.AssertionError) throw error;
        });
      } else if (accepted instanceof assert.AssertionError) throw accepted;
    }
  };
  let isRunning = true;
  const all = Promise.all([0, 1, 2].map(operate)).finally(() => {
    isRunning = false;
  });
  // After a lost answer to the head swap the head is read back with pauses.
  while (isRunning) await Promise.race([all, clock.advance(50, 50)]);
};

const faults = fc.oneof(
  { weight: 12, arbitrary: fc.constant(undefined) },
  { weight: 1, arbitrary: fc.constantFrom(...Object.values(StoreFault)) },
);

const raceProperty = (isTouchIgnored: boolean) =>
  fc.asyncProperty(
    fc.infiniteStream(fc.nat({ max: 30 })),
    fc.infiniteStream(faults),
    fc.infiniteStream(fc.integer({ min: 1, max: 3 })),
    async (ticks, faultStream, slots) => {
      const store = new CheckedStore(ticks, faultStream, isTouchIgnored);
      await runConcurrentOperators(store, slots);
      store.finishLateWrites();
      checkHead(store);
      const versions = (store.written.get(storeKeys.head) ?? []).length;
      const entries = storedKeys(store, storeKeys.history(0).slice(0, -1)).length;
      assert.ok(entries >= versions - 1, `${entries} history entries of ${versions} versions`);
    },
  );

const raceOptions = { numRuns: 100, seed: 20_261_204 };

test('no section of the head is ever missing under lost messages and races between operators', async () => {
  // Guards against a retirement that deletes a section which a concurrent accept uses again.
  await fc.assert(raceProperty(false), raceOptions);
});

test('without the raised revision a section of the head is deleted', async () => {
  // Guards against a race test that never provokes the fault which raising the revision prevents.
  const { errorInstance } = await fc.check(raceProperty(true), raceOptions);
  assert.match(String(errorInstance), /section .* of the head is missing/);
});

/** Accepts `versions` versions; every service changes in each of them. */
const acceptMany = async (store: MemoryStore, versions: number, serviceCount: number) => {
  const repository = new ConfigRepository(store);
  let head: HeadRecord | undefined;
  for (let version = 1; version <= versions; version += 1) {
    head = (await repository.accept(request(`op-${version}`, version, serviceCount))).head;
  }
  return { repository, head: head as HeadRecord };
};

const retireAll = async (store: MemoryStore, repository: ConfigRepository, head: HeadRecord) => {
  for (let run = 0; run < 20; run += 1) {
    const callsBefore = store.calls.length;
    await repository.retireOldVersions(head, retention);
    assert.ok(
      store.calls.length - callsBefore <= callsPerRunMax,
      `${store.calls.length - callsBefore}`,
    );
  }
  return ['manifest/', 'section/', 'history/']
    .map((kind) => `${kind} ${storedKeys(store, `sequoiafield/${kind}`).length}`)
    .join(', ');
};

test('old versions are deleted in bounded runs; the history and recent versions stay', async () => {
  // Guards against a store that fills up, an accept with unbounded calls, and a deleted history.
  const store = new MemoryStore();
  const { repository, head } = await acceptMany(store, 6, 20);
  assert.equal(
    await repository.retireOldVersions(head),
    0,
    'nothing is due under the default retention',
  );
  // Versions 5 and 6 are kept; mesh and an index section without routes never changed.
  const left = await retireAll(store, repository, head);
  assert.equal(left, `manifest/ 2, section/ ${2 * 20 + 2}, history/ 6`);
  assert.equal((await repository.readHistory(10)).length, 6);
  checkHead(store);
});

test('a retirement that fails at any step is completed by later runs', async () => {
  // Guards against old sections that are never deleted after a lost answer or an outage.
  for (const fault of Object.values(StoreFault)) {
    let isReached = true;
    for (let step = 1; isReached; step += 1) {
      let failAt = Number.POSITIVE_INFINITY;
      const store = new MemoryStore(({ number }) => (number === failAt ? fault : undefined));
      const { repository, head } = await acceptMany(store, 4, 3);
      failAt = store.calls.length + step;
      await repository.retireOldVersions(head, retention).catch(() => 0);
      isReached = store.calls.length >= failAt;
      failAt = Number.POSITIVE_INFINITY;
      store.finishLateWrites();
      const left = await retireAll(store, repository, head);
      assert.equal(left, 'manifest/ 2, section/ 8, history/ 4', `${fault} at call ${step}`);
    }
  }
});
