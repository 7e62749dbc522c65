import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendServerState, type BackendHeartbeat } from '@sequoiafield/types';
import { HeartbeatEffect, LocalServerTracker } from './index.js';

const endpoint = '10.1.0.41:8628';
const options = { endpoint, service: 's', heartbeatIntervalMs: 1000 };

const createHeartbeat = (changes: Partial<BackendHeartbeat> = {}): BackendHeartbeat => ({
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

const trackHeartbeats = (
  ...heartbeats: readonly Partial<BackendHeartbeat>[]
): LocalServerTracker => {
  const tracker = new LocalServerTracker(options);
  heartbeats.forEach((changes) => tracker.recordHeartbeat(createHeartbeat(changes), 0));
  return tracker;
};

test('a draining server stays draining after a late heartbeat', () => {
  // Guards against new work for a server whose drain was acknowledged.
  const tracker = trackHeartbeats(
    { sequence: 5 },
    { sequence: 6, state: BackendServerState.Draining },
    { sequence: 4 },
    { sequence: 7 },
  );
  assert.equal(tracker.current()?.isLeaving, true);
});

test('a drain counts although its heartbeat arrives out of order', () => {
  // Guards against an acknowledged drain that is ignored because its heartbeat is late.
  const tracker = trackHeartbeats(
    { sequence: 5 },
    { sequence: 4, state: BackendServerState.Draining },
  );
  assert.equal(tracker.current()?.isLeaving, true);
});

test('a heartbeat of a former incarnation is ignored', () => {
  // Guards against a delayed heartbeat of a crashed server that replaces the new one.
  const tracker = trackHeartbeats({ instanceId: 'i-2', bornAtUnixMs: 2000 });
  assert.equal(
    tracker.recordHeartbeat(createHeartbeat({ sequence: 90 }), 0),
    HeartbeatEffect.Ignored,
  );
  assert.equal(tracker.current()?.heartbeat.instanceId, 'i-2');
});

test('a server that restarts under its id replaces its former incarnation', () => {
  // Guards against a restarted server whose heartbeats are ignored for their low sequence numbers.
  const tracker = trackHeartbeats({ sequence: 50, state: BackendServerState.Draining });
  const effect = tracker.recordHeartbeat(
    createHeartbeat({ bornAtUnixMs: 2000, coldRemainingMs: 3000 }),
    10,
  );
  assert.equal(effect, HeartbeatEffect.Replaced);
  assert.equal(tracker.current()?.isLeaving, false);
  assert.equal(tracker.current()?.coldUntilMs, 3010);
});

test('a deregistered incarnation is ignored, a later one replaces it', () => {
  // Guards against a heartbeat that was in transit when the server left.
  const tracker = trackHeartbeats({});
  assert.equal(tracker.recordDeregistration({ instanceId: 'i-1', bornAtUnixMs: undefined }), true);
  assert.equal(
    tracker.recordHeartbeat(createHeartbeat({ sequence: 2 }), 0),
    HeartbeatEffect.Ignored,
  );
  assert.equal(
    tracker.recordHeartbeat(createHeartbeat({ bornAtUnixMs: 3000 }), 0),
    HeartbeatEffect.Replaced,
  );
});

test('a deregistration that precedes the first heartbeat is remembered', () => {
  // Guards against a late heartbeat after a deregistration that a restarted node acknowledged.
  const tracker = trackHeartbeats();
  assert.equal(tracker.recordDeregistration({ instanceId: 'i-1', bornAtUnixMs: 1000 }), false);
  assert.equal(tracker.recordHeartbeat(createHeartbeat(), 0), HeartbeatEffect.Ignored);
  tracker.recordHeartbeat(createHeartbeat({ bornAtUnixMs: 1001 }), 0);
  assert.equal(tracker.current()?.isLeaving, false);
});

test('a later incarnation that drains at once replaces the former one', () => {
  // Guards against calls under the id of a former incarnation that reach the draining one.
  const tracker = trackHeartbeats({}, { bornAtUnixMs: 2000, state: BackendServerState.Draining });
  assert.equal(tracker.current()?.heartbeat.bornAtUnixMs, 2000);
  assert.equal(tracker.current()?.isLeaving, true);
});

test('a server that left a former process gets no new work', () => {
  // Guards against a late heartbeat that a new process receives before it knows of the leaving.
  const tracker = trackHeartbeats({});
  assert.equal(tracker.recordDeparted({ instanceId: 'i-1', bornAtUnixMs: 1000 }), true);
  assert.equal(tracker.current()?.isLeaving, true);
  assert.equal(tracker.recordDeparted({ instanceId: 'i-1', bornAtUnixMs: 1000 }), false);
});

test('the deregistration of another server or a former incarnation is ignored', () => {
  // Guards against a late deregistration that removes a running server.
  const tracker = trackHeartbeats({ bornAtUnixMs: 2000 });
  assert.equal(tracker.recordDeregistration({ instanceId: 'i-9', bornAtUnixMs: undefined }), false);
  assert.equal(tracker.recordDeregistration({ instanceId: 'i-1', bornAtUnixMs: 1000 }), false);
  assert.notEqual(tracker.current(), undefined);
});

test('a heartbeat with another address is ignored', () => {
  // Guards against a forged or misdirected heartbeat.
  const tracker = trackHeartbeats({ endpoint: '10.1.0.99:8628' });
  assert.equal(tracker.current(), undefined);
});

test('a heartbeat of another service is refused', () => {
  // Guards against a foreign heartbeat that replaces the server and the caller service.
  const tracker = trackHeartbeats({});
  const foreign = createHeartbeat({ instanceId: 'i-9', bornAtUnixMs: 9000, service: 'other' });
  assert.equal(tracker.recordHeartbeat(foreign, 0), HeartbeatEffect.Refused);
  assert.equal(tracker.current()?.heartbeat.instanceId, 'i-1');
});

test('a server that a foreign heartbeat replaced is used again', () => {
  // Guards against a server that is ignored for good after one heartbeat with a later start.
  const foreign = { instanceId: 'i-9', bornAtUnixMs: 9000, state: BackendServerState.Draining };
  const tracker = trackHeartbeats({}, foreign);
  assert.equal(tracker.current()?.heartbeat.instanceId, 'i-9');
  assert.equal(
    tracker.recordHeartbeat(createHeartbeat({ sequence: 2 }), 2000),
    HeartbeatEffect.Ignored,
  );
  tracker.recordHeartbeat(createHeartbeat({ sequence: 3 }), 3000);
  assert.equal(tracker.current()?.heartbeat.instanceId, 'i-1');
  assert.equal(tracker.current()?.isLeaving, false);
});

test('a server whose sequence number a foreign heartbeat used is used again', () => {
  // Guards against a server whose cold turns are ignored after one heartbeat with a high number.
  const tracker = trackHeartbeats({}, { sequence: 900 });
  tracker.recordHeartbeat(createHeartbeat({ sequence: 2, coldRemainingMs: 2000 }), 3000);
  assert.equal(tracker.current()?.coldUntilMs, 5000);
});
