import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { revisionInEra, type StoreItem } from '@sequoiafield/store';
import { SeededRandom } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { MoveOutcome } from '@sequoiafield/types';
import { MoveRecorder } from './move-recorder.js';
import { FakeRecordStore, jsonRecordCodec } from './test-support/fake-record-store.js';
import { moveOrder, MovesFixture } from './test-support/moves-fixture.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const eraStart = revisionInEra(1, 19);
const rolledBack = { service: 's', toVersion: 'v2', outcome: MoveOutcome.RolledBack };

const itemOf = (outcome: MoveOutcome, revision: number): StoreItem => ({
  key: 'status/s',
  value: jsonRecordCodec.encode({ ...rolledBack, outcome }),
  revision,
});

const createRecorder = (store: FakeRecordStore): MoveRecorder =>
  new MoveRecorder(
    moveOrder,
    { store, codec: jsonRecordCodec, random: new SeededRandom(1), logger: new SilentLogger() },
    undefined,
  );

test('an outcome that the copy lacks is written again once, also if its order has ended', async () => {
  // Guards against a verdict that is lost with the store, and against one write of each judge.
  for (const hasOrder of [true, false]) {
    const fixture = new MovesFixture(clock, 200, () => ({ status: 500, latencyMs: 20 }));
    await fixture.runTraffic(5000);
    assert.equal(fixture.outcome, MoveOutcome.RolledBack);
    const { outcomes } = fixture.store;
    const [item, countBefore] = [fixture.store.item, outcomes.length];
    fixture.store.restore(itemOf(MoveOutcome.Running, 21));
    const moves = hasOrder ? fixture.orders.current().moves : new Map();
    fixture.orders.change({ moves, eraStart, storeRevision: eraStart });
    await clock.advance(4000);
    assert.deepEqual(outcomes.slice(countBefore), [MoveOutcome.RolledBack]);
    assert.deepEqual(fixture.store.item!.value, item!.value);
  }
});

test('an outcome that the copy has is not written again', async () => {
  // Guards against writes of each judge after each restore.
  const store = new FakeRecordStore();
  const recorder = createRecorder(store);
  recorder.record(MoveOutcome.RolledBack);
  await clock.advance(100);
  store.restore(itemOf(MoveOutcome.RolledBack, 21));
  recorder.noteEra(eraStart);
  assert.equal(recorder.isRewriteDue, true);
  recorder.record(MoveOutcome.RolledBack);
  await clock.advance(100);
  assert.equal(recorder.isRewriteDue, false);
  assert.equal(store.outcomes.length, 1);
});

test('the outcome of an earlier order in the copy does not count for the current one', async () => {
  // Guards against a verdict of a former move that the higher revisions of the new era bring back.
  const store = new FakeRecordStore();
  store.restore(itemOf(MoveOutcome.RolledBack, moveOrder.revision - 1));
  const recorder = createRecorder(store);
  recorder.noteEra(eraStart);
  recorder.record(MoveOutcome.Completed);
  await clock.advance(100);
  assert.equal(recorder.storedOutcome, undefined);
  recorder.record(MoveOutcome.Completed);
  await clock.advance(100);
  assert.equal(recorder.storedOutcome, MoveOutcome.Completed);
  assert.deepEqual(store.outcomes, [MoveOutcome.Completed]);
});
