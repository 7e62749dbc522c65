import assert from 'node:assert/strict';
import type { IncomingMessage, RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { waitUntil } from '@sequoiafield/test-kit';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

/** Starts a backend server that records its connections and the ids of requests that it ran. */
const startServer = async (keepAliveTimeoutMs: number, onReused: RequestListener) => {
  const usedSockets = new Set<Socket>();
  const runs: string[] = [];
  const [server, origin] = await listen((request, response) => {
    const isReused = usedSockets.has(request.socket);
    usedSockets.add(request.socket);
    if (isReused) {
      onReused(request, response);
      return;
    }
    runs.push(String(request.headers['x-sequoiafield-request-id']));
    response.end('done');
  });
  server.keepAliveTimeout = keepAliveTimeoutMs;
  return { origin, usedSockets, runs };
};

/** Time in which a loopback connection opens. */
const connectionOpensWithinMs = 50;

const answerRequest: RequestListener = (_request, response) => response.end('done');
const dropConnection: RequestListener = (request) => request.socket.destroy();

interface Trial {
  readonly keepAliveTimeoutMs: number;
  readonly deadlineMs: number;
  readonly onReused?: RequestListener;
  readonly waitMs?: number;
  readonly usesFreshConnections?: boolean;
}

/** Sends three calls in turn; returns their statuses and the number of connections used. */
const runTrial = async (trial: Trial): Promise<{ statuses: number[]; connections: number }> => {
  const { origin, usedSockets } = await startServer(
    trial.keepAliveTimeoutMs,
    trial.onReused ?? answerRequest,
  );
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
  return { statuses, connections: usedSockets.size };
};

test('a connection is reused only if it is advertised to stay open beyond the deadline', async () => {
  // Guards against a request that is written to a connection that the server may be closing.
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

test('no request is lost to a server that advertises no keep-alive time', async () => {
  // Guards against settlements of unknown outcome on a connection that the server may close at any
  // time.
  const trial = { keepAliveTimeoutMs: 0, deadlineMs: 2000, onReused: dropConnection };
  assert.deepEqual((await runTrial(trial)).statuses, [200, 200, 200]);
  const withoutRule = await runTrial({ ...trial, usesFreshConnections: false });
  assert.ok(withoutRule.statuses.includes(502), 'a request must be lost without the rule');
});

const pauseMs = 3000;
/** Fakes a server that is paused for its keep-alive time and then closes the connection unread. */
const closeAfterPause: RequestListener = (request) => {
  setTimeout(pauseMs).then(() => request.socket.destroy());
};

test('a server that is paused until its idle close loses no request before the deadline', async () => {
  // Guards against a limit on the idle time that fails if a process is paused for longer.
  const paused = { keepAliveTimeoutMs: pauseMs, onReused: closeAfterPause };
  const longDeadline = { ...paused, deadlineMs: 3500 };
  const [byRule, withoutRule, shortDeadline] = await Promise.all([
    runTrial(longDeadline),
    runTrial({ ...longDeadline, usesFreshConnections: false }),
    runTrial({ ...paused, deadlineMs: 1000 }),
  ]);
  assert.deepEqual(byRule.statuses, [200, 200, 200]);
  assert.ok(withoutRule.statuses.includes(502), 'a request must be lost without the rule');
  // On a reused connection the call times out at its deadline, as on any with a paused server.
  assert.ok(!shortDeadline.statuses.includes(502), shortDeadline.statuses.join());
});

test('a request on a reused connection never runs twice', async () => {
  // Guards against a request that is written a second time after its connection failed.
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

test('a call whose caller leaves opens no second connection to the server', async () => {
  // Guards against connections beyond the limit of a server, opened for calls that were cancelled.
  const requests: IncomingMessage[] = [];
  const connections: Socket[] = [];
  const [server, origin] = await listen((request) => requests.push(request));
  server.on('connection', (socket) => connections.push(socket));
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  for (let call = 1; call <= 5; call += 1) {
    const caller = new AbortController();
    const headers = { 'x-sequoiafield-deadline-ms': '5000' };
    const answer = fetch(`${node.url}/ok`, { method: 'POST', headers, signal: caller.signal });
    await waitUntil(() => requests.length === call);
    caller.abort();
    await answer.catch(() => undefined);
    await waitUntil(() => requests.every(({ socket }) => socket.destroyed));
    await setTimeout(connectionOpensWithinMs);
  }
  assert.deepEqual([requests.length, connections.length], [5, 5]);
});
