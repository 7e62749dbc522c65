import assert from 'node:assert/strict';
import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

/** A backend server with the connections and request ids of the requests that it ran. */
const startServer = async (keepAliveTimeoutMs: number, onReused: RequestListener) => {
  const used = new Set<Socket>();
  const runs: string[] = [];
  const [server, origin] = await listen((request, response) => {
    const isReused = used.has(request.socket);
    used.add(request.socket);
    if (isReused) {
      onReused(request, response);
      return;
    }
    runs.push(String(request.headers['x-sequoiafield-request-id']));
    response.end('done');
  });
  server.keepAliveTimeout = keepAliveTimeoutMs;
  return { origin, used, runs };
};

const answer: RequestListener = (_request, response) => response.end('done');
const drop: RequestListener = (request) => request.socket.destroy();

interface Trial {
  readonly keepAliveTimeoutMs: number;
  readonly deadlineMs: number;
  readonly onReused?: RequestListener;
  readonly waitMs?: number;
  readonly usesFreshConnections?: boolean;
}

/** Statuses of three calls in turn, and the connections that they used. */
const runTrial = async (trial: Trial): Promise<{ statuses: number[]; connections: number }> => {
  const { origin, used } = await startServer(trial.keepAliveTimeoutMs, trial.onReused ?? answer);
  const { usesFreshConnections } = trial;
  const node = await new CallNodeFixture('a', {
    origin,
    backend: { usesFreshConnections },
  }).start();
  node.setMembers([node.row]);
  const headers = { 'x-sequoiafield-deadline-ms': String(trial.deadlineMs) };
  const statuses: number[] = [];
  for (let call = 0; call < 3; call += 1) {
    if (call > 0 && trial.waitMs) await setTimeout(trial.waitMs);
    const response = await fetch(`${node.url}/ok`, { method: 'POST', body: 'x', headers });
    await response.arrayBuffer();
    statuses.push(response.status);
  }
  return { statuses, connections: used.size };
};

test('a connection is used again only if it is promised beyond the deadline', async () => {
  // Guards against a request on a connection that the server may be closing.
  const connectionsOf = async (trial: Trial): Promise<number> =>
    (await runTrial(trial)).connections;
  const counts = await Promise.all([
    connectionsOf({ keepAliveTimeoutMs: 5000, deadlineMs: 2000 }),
    connectionsOf({ keepAliveTimeoutMs: 5000, deadlineMs: 6000 }),
    connectionsOf({ keepAliveTimeoutMs: 5000, deadlineMs: 2000, waitMs: 1200 }),
    connectionsOf({ keepAliveTimeoutMs: 0, deadlineMs: 2000 }),
  ]);
  assert.deepEqual(counts, [1, 3, 3, 3]);
});

test('no request is lost to a server that promises nothing', async () => {
  // Guards against settlements lost in doubt on a connection that the server closes at will.
  const trial = { keepAliveTimeoutMs: 0, deadlineMs: 2000, onReused: drop };
  assert.deepEqual((await runTrial(trial)).statuses, [200, 200, 200]);
  const racing = await runTrial({ ...trial, usesFreshConnections: false });
  assert.ok(racing.statuses.includes(502), 'the violation shows without the rule');
});

/** A server that reads nothing until its keep-alive time is over, and closes the connection first. */
const pausedMs = 3000;
const closeAfterPause: RequestListener = (request) => {
  setTimeout(pausedMs).then(() => request.socket.destroy());
};

test('a server paused until its idle close is due loses no request before its deadline', async () => {
  // Guards against a bound on idle time that a paused process outlasts.
  const paused = { keepAliveTimeoutMs: pausedMs, onReused: closeAfterPause };
  const long = { ...paused, deadlineMs: 3500 };
  const [kept, racing, short] = await Promise.all([
    runTrial(long),
    runTrial({ ...long, usesFreshConnections: false }),
    runTrial({ ...paused, deadlineMs: 1000 }),
  ]);
  assert.deepEqual(kept.statuses, [200, 200, 200]);
  assert.ok(racing.statuses.includes(502), 'the violation shows without the rule');
  // A reused connection ends a call by its deadline, as a paused server does on any connection.
  assert.ok(!short.statuses.includes(502), short.statuses.join());
});

test('a request on a connection used again never runs twice', async () => {
  // Guards against a request that is written again after its connection broke.
  const runs: string[] = [];
  const { origin } = await startServer(5000, (request) => {
    runs.push(String(request.headers['x-sequoiafield-request-id']));
    request.socket.destroy();
  });
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  const call = async (id: string): Promise<string> => {
    const headers = { 'x-sequoiafield-deadline-ms': '2000', 'x-sequoiafield-request-id': id };
    const response = await fetch(`${node.url}/ok`, { method: 'POST', body: 'x', headers });
    await response.arrayBuffer();
    return `${response.status} ${response.headers.get('x-sequoiafield-outcome')}`;
  };
  const results = [await call('first'), await call('second')];
  assert.deepEqual([results, runs], [['200 null', '502 unknown'], ['second']]);
});
