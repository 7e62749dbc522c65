import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pauseClock } from '@sequoiafield/test-kit';
import {
  AnnouncementEffect,
  BackendServerMonitor,
  drainCooldownMs,
} from './backend-server-monitor.js';

const server = { service: 'rounds', version: 'v1', address: '127.0.0.1', port: 8080 };

test('a backend server that drained returns as a cold one, but not by an old announcement', async (t) => {
  // Guards against an instance that stays out until its node restarts, and against a repeated
  // announcement that undoes the drain which it crossed.
  const clock = pauseClock();
  t.after(() => clock.resume());
  const watch = new BackendServerMonitor({ ...server, healthPath: '/' });
  const first = { ...server, startedAtUnixMs: 1000 };
  assert.equal(watch.receiveAnnouncement(first), AnnouncementEffect.Known);
  const startedAtMs = watch.current()?.startedAtMs ?? 0;
  await clock.advance(500);
  watch.drain();
  assert.equal(watch.receiveAnnouncement(first), AnnouncementEffect.TooEarly);
  assert.equal(watch.receiveAnnouncement(server), AnnouncementEffect.TooEarly);
  assert.equal(watch.current()?.isDraining, true);
  // A restarted process is known by its start and need not wait.
  const second = { ...server, startedAtUnixMs: 2000 };
  assert.equal(watch.receiveAnnouncement(second), AnnouncementEffect.Returned);
  assert.ok((watch.current()?.startedAtMs ?? 0) > startedAtMs);
  watch.drain();
  await clock.advance(drainCooldownMs);
  // The clock may have been set back meanwhile.
  assert.equal(watch.receiveAnnouncement(first), AnnouncementEffect.Returned);
  assert.equal(watch.current()?.isDraining, false);
  // A drain may also come before the first announcement.
  const late = new BackendServerMonitor({ ...server, healthPath: '/' });
  late.drain();
  assert.equal(late.receiveAnnouncement(server), AnnouncementEffect.TooEarly);
  await clock.advance(drainCooldownMs);
  assert.equal(late.receiveAnnouncement(server), AnnouncementEffect.Returned);
  // A crash without a drain also makes the backend server cold, but tells the members nothing.
  const beforeCrash = watch.current();
  await clock.advance(500);
  assert.equal(watch.receiveAnnouncement(first), AnnouncementEffect.Known);
  assert.equal(watch.current(), beforeCrash);
  assert.equal(
    watch.receiveAnnouncement({ ...server, startedAtUnixMs: 3000 }),
    AnnouncementEffect.Known,
  );
  assert.notEqual(watch.current()?.startedAtMs, beforeCrash?.startedAtMs);
});
