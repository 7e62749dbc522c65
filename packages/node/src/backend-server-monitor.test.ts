import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pauseClock } from '@sequoiafield/test-kit';
import {
  AnnouncementEffect,
  BackendServerMonitor,
  drainCooldownMs,
} from './backend-server-monitor.js';

const server = { service: 'rounds', version: 'v1', address: '127.0.0.1', port: 8080 };

test('a drained backend server returns cold, but not through an announcement older than the drain', async (t) => {
  // Guards against an instance that stays drained until its node restarts, and against a repeated
  // announcement that was sent before the drain and cancels it.
  const clock = pauseClock();
  t.after(() => clock.resume());
  const monitor = new BackendServerMonitor({ ...server, healthPath: '/' });
  const firstProcess = { ...server, startedAtUnixMs: 1000 };
  assert.equal(monitor.receiveAnnouncement(firstProcess), AnnouncementEffect.Known);
  const startedAtMs = monitor.current()?.startedAtMs ?? 0;
  await clock.advance(500);
  monitor.drain();
  assert.equal(monitor.receiveAnnouncement(firstProcess), AnnouncementEffect.TooEarly);
  assert.equal(monitor.receiveAnnouncement(server), AnnouncementEffect.TooEarly);
  assert.equal(monitor.current()?.isDraining, true);
  // A restarted process is recognised by its later start and returns without the cooldown.
  const secondProcess = { ...server, startedAtUnixMs: 2000 };
  assert.equal(monitor.receiveAnnouncement(secondProcess), AnnouncementEffect.Returned);
  assert.ok((monitor.current()?.startedAtMs ?? 0) > startedAtMs);
  monitor.drain();
  await clock.advance(drainCooldownMs);
  // After the cooldown an earlier start is accepted, since the clock may have been set back.
  assert.equal(monitor.receiveAnnouncement(firstProcess), AnnouncementEffect.Returned);
  assert.equal(monitor.current()?.isDraining, false);
  // A drain may also precede the first announcement.
  const drainedFirst = new BackendServerMonitor({ ...server, healthPath: '/' });
  drainedFirst.drain();
  assert.equal(drainedFirst.receiveAnnouncement(server), AnnouncementEffect.TooEarly);
  await clock.advance(drainCooldownMs);
  assert.equal(drainedFirst.receiveAnnouncement(server), AnnouncementEffect.Returned);
  // A crash without a drain also makes the backend server cold, but the members are not notified.
  const beforeCrash = monitor.current();
  await clock.advance(500);
  assert.equal(monitor.receiveAnnouncement(firstProcess), AnnouncementEffect.Known);
  assert.equal(monitor.current(), beforeCrash);
  assert.equal(
    monitor.receiveAnnouncement({ ...server, startedAtUnixMs: 3000 }),
    AnnouncementEffect.Known,
  );
  assert.notEqual(monitor.current()?.startedAtMs, beforeCrash?.startedAtMs);
});
