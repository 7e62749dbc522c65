import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendServerState, type BackendHeartbeat } from '@sequoiafield/types';
import { HeartbeatEffect, LocalServerTracker } from './index.js';

const endpoint = '10.1.0.41:8628';

const heartbeat = (changes: Partial<BackendHeartbeat> = {}): BackendHeartbeat => ({
  instanceId: 'i-1',
  bornAtUnixMs: 1000,
  sequence: 1,
  service: 's',
  endpoint,
  dataCentre: 'dc',
  version: 'v1',
  slots: 9,
  state: BackendServerState.Ready,
  coldRemainingMs: 0,
  ...changes,
});

const hearAll = (...heartbeats: readonly Partial<BackendHeartbeat>[]): LocalServerTracker => {
  const book = new LocalServerTracker(endpoint);
  heartbeats.forEach((changes) => book.recordHeartbeat(heartbeat(changes), 0));
  return book;
};

test('a late heartbeat does not bring a draining server back', () => {
  // Guards against new work for a server whose drain was acknowledged.
  const book = hearAll(
    { sequence: 5 },
    { sequence: 6, state: BackendServerState.Draining },
    { sequence: 4 },
    { sequence: 7 },
  );
  assert.equal(book.current()?.isLeaving, true);
});

test('a drain counts although its heartbeat arrives out of order', () => {
  // Guards against an acknowledged drain that is dropped as late.
  const book = hearAll({ sequence: 5 }, { sequence: 4, state: BackendServerState.Draining });
  assert.equal(book.current()?.isLeaving, true);
});

test('a heartbeat of a former incarnation changes nothing', () => {
  // Guards against a delayed heartbeat of a crashed server that takes the place of the new one.
  const book = hearAll({ instanceId: 'i-2', bornAtUnixMs: 2000 });
  assert.equal(book.recordHeartbeat(heartbeat({ sequence: 90 }), 0), HeartbeatEffect.Ignored);
  assert.equal(book.current()?.heartbeat.instanceId, 'i-2');
});

test('a server that starts again under its id counts anew', () => {
  // Guards against a restarted server whose first heartbeats are dropped for their low numbers.
  const book = hearAll({ sequence: 50, state: BackendServerState.Draining });
  const effect = book.recordHeartbeat(heartbeat({ bornAtUnixMs: 2000, coldRemainingMs: 3000 }), 10);
  assert.equal(effect, HeartbeatEffect.Replaced);
  assert.equal(book.current()?.isLeaving, false);
  assert.equal(book.current()?.coldUntilMs, 3010);
});

test('a departed incarnation stays away, a later one is taken', () => {
  // Guards against a heartbeat that was on its way when the server left.
  const book = hearAll({});
  assert.equal(book.recordDeregistration({ instanceId: 'i-1', bornAtUnixMs: undefined }), true);
  assert.equal(book.recordHeartbeat(heartbeat({ sequence: 2 }), 0), HeartbeatEffect.Ignored);
  assert.equal(
    book.recordHeartbeat(heartbeat({ bornAtUnixMs: 3000 }), 0),
    HeartbeatEffect.Replaced,
  );
});

test('the departure of another server or incarnation is not the own one', () => {
  // Guards against a late departure that takes a living server out.
  const book = hearAll({ bornAtUnixMs: 2000 });
  assert.equal(book.recordDeregistration({ instanceId: 'i-9', bornAtUnixMs: undefined }), false);
  assert.equal(book.recordDeregistration({ instanceId: 'i-1', bornAtUnixMs: 1000 }), false);
  assert.notEqual(book.current(), undefined);
});

test('a heartbeat of another address names no server here', () => {
  // Guards against a forged or misdirected heartbeat.
  const book = hearAll({ endpoint: '10.1.0.99:8628' });
  assert.equal(book.current(), undefined);
});
