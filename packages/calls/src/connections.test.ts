import assert from 'node:assert/strict';
import { createConnection } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { waitUntil } from '@sequoiafield/test-kit';
import { FaultyBackend } from './test-support/faulty-backend.js';
import {
  listen,
  CallNodeFixture,
  type CallNodeFixtureOptions,
} from './test-support/call-node-fixture.js';

const startPair = async (origin: string, options: CallNodeFixtureOptions = {}) => {
  const far = await new CallNodeFixture('b', { origin, ...options }).start();
  const near = await new CallNodeFixture('a', { origin }).start();
  near.setMembers([far.row]);
  return { near, far, stop: () => Promise.all([near.stop(), far.stop()]) };
};

/** Statuses of five calls to a server that drops each connection at its second request. */
const callRacingServer = async (usesFreshConnections: boolean): Promise<number[]> => {
  const served = new WeakSet();
  const [server, origin] = await listen((request, response) => {
    if (served.has(request.socket)) request.socket.destroy();
    else response.end('done');
    served.add(request.socket);
  });
  const { near, stop } = await startPair(origin, { backend: { usesFreshConnections } });
  const statuses: number[] = [];
  for (let call = 0; call < 5; call += 1) {
    const response = await fetch(`${near.url}/ok`, { method: 'POST', body: 'x' });
    statuses.push(response.status);
    await response.arrayBuffer();
  }
  await stop();
  server.close();
  return statuses;
};

test('a non-idempotent request does not race with a closing kept-alive connection', async () => {
  // Guards against settlements that are lost in doubt because the server closed an idle connection.
  assert.deepEqual(await callRacingServer(true), [200, 200, 200, 200, 200]);
  const racing = await callRacingServer(false);
  assert.ok(
    racing.includes(502),
    `the violation shows without fresh connections: ${racing.join()}`,
  );
});

type Stop = (node: CallNodeFixture) => Promise<void>;

const stopGracefully: Stop = async (node) => {
  await node.calls.drain();
  await node.transport.whenIdle(1000);
  await node.stop();
};

/** Stop without a drain. */
const stopAtOnce: Stop = (node) => node.stop();

/** Results of four running calls and a new one while both nodes stop. */
const stopDuringCalls = async (stopNode: Stop): Promise<string[]> => {
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { near, far } = await startPair(origin);
  const call = async (method: string): Promise<string> => {
    try {
      const response = await fetch(`${near.url}/slow`, { method });
      return `${response.status} ${response.headers.get('x-sequoiafield-reason') ?? (await response.text())}`;
    } catch {
      return 'cut';
    }
  };
  const running = ['GET', 'POST', 'GET', 'POST'].map(call);
  await waitUntil(() => backendServer.runs.length === 4);
  const drains = [stopNode(far), stopNode(near)];
  const late = await call('POST');
  backendServer.release();
  const results = [...(await Promise.all(running)), late];
  await Promise.all(drains);
  server.closeAllConnections();
  server.close();
  return results;
};

test('a planned stop cuts no running call and refuses new ones as not run', async () => {
  // Guards against a stop that loses answers of requests that ran.
  const done = '200 done';
  const results = await stopDuringCalls(stopGracefully);
  assert.deepEqual(results.slice(0, 4), [done, done, done, done]);
  assert.equal(results[4], '503 draining');
  const cut = await stopDuringCalls(stopAtOnce);
  assert.ok(
    cut.slice(0, 4).every((result) => result !== done),
    cut.join(),
  );
});

test('a draining node still carries calls of the request that its backend server runs', async () => {
  // Guards against a stop that fails a running request by refusing its own calls.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { near, far, stop } = await startPair(origin);
  far.setMembers([near.row]);
  const outer = fetch(`${near.url}/slow`, { headers: { 'x-sequoiafield-request-id': 'outer' } });
  await waitUntil(() => backendServer.runs.includes('outer'));
  const drained = far.calls.drain();
  const inner = (id: string) =>
    fetch(`${far.url}/ok`, { headers: { 'x-sequoiafield-request-id': id } });
  const statuses = [(await inner('outer')).status, (await inner('other')).status];
  backendServer.release();
  statuses.push((await outer).status);
  await drained;
  await stop();
  server.close();
  assert.deepEqual(statuses, [200, 503, 200]);
});

test('a caller that goes away cancels its call at the backend server', async () => {
  // Guards against work for callers that are gone, and against counting it as a failure.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { near, far, stop } = await startPair(origin);
  const controller = new AbortController();
  const { signal } = controller;
  const call = fetch(`${near.url}/hang`, { method: 'POST', body: 'x', signal }).catch(() => 'gone');
  await waitUntil(() => backendServer.runs.length === 1);
  controller.abort();
  await call;
  await waitUntil(() => backendServer.cancelled === 1 && far.released === 1);
  const seen = [backendServer.cancelled, far.released, far.evidence.length, near.unanswered];
  await stop();
  server.close();
  assert.deepEqual(seen, [1, 1, 0, 0]);
});

test('half a request body is never sent on', async () => {
  // Guards against a backend server that runs a request that its caller did not finish.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { near, stop } = await startPair(origin);
  const socket = createConnection(near.calls.callPort, '127.0.0.1');
  socket.write('POST /ok HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf');
  await setTimeout(40);
  socket.destroy();
  await setTimeout(40);
  await stop();
  server.close();
  assert.deepEqual(backendServer.runs, []);
});

test('the own backend server is called without a link', async () => {
  // Guards against the cost of a link where no other node is needed.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { near, stop } = await startPair(origin);
  near.setMembers([near.row]);
  const response = await fetch(`${near.url}/ok`, { method: 'POST', body: 'x' });
  const { attemptsDirect, attemptsLinked } = near.calls.counters;
  await stop();
  server.close();
  assert.deepEqual([response.status, attemptsDirect, attemptsLinked], [200, 1, 0]);
});

test('an answer for a caller that is gone is dropped, and a slow caller gets all of it', async () => {
  // Guards against a process that ends on an unhandled error of a caller's connection.
  const body = Buffer.alloc(4 * 1024 * 1024, 'b');
  const [, origin] = await listen((_request, response) => response.end(body));
  const { near } = await startPair(origin);
  const gone = createConnection(near.calls.callPort, '127.0.0.1');
  gone.write('GET /ok HTTP/1.1\r\nhost: a\r\n\r\n');
  await waitUntil(() => gone.bytesRead > 0);
  gone.destroy();
  const response = await fetch(`${near.url}/ok`);
  await setTimeout(100);
  assert.equal((await response.arrayBuffer()).byteLength, body.byteLength);
  await waitUntil(() => near.calls.counters.callsAnswered === 2);
});
