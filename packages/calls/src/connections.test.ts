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
  const serverNode = await new CallNodeFixture('b', { origin, ...options }).start();
  const entryNode = await new CallNodeFixture('a', { origin }).start();
  entryNode.setMembers([serverNode.row]);
  return { entryNode, serverNode, stop: () => Promise.all([entryNode.stop(), serverNode.stop()]) };
};

/** Sends five calls to a server that drops each reused connection; returns the statuses. */
const callServerThatDropsReused = async (usesFreshConnections: boolean): Promise<number[]> => {
  const usedSockets = new WeakSet();
  const [server, origin] = await listen((request, response) => {
    if (usedSockets.has(request.socket)) request.socket.destroy();
    else response.end('done');
    usedSockets.add(request.socket);
  });
  const { entryNode, stop } = await startPair(origin, { backend: { usesFreshConnections } });
  const statuses: number[] = [];
  for (let call = 0; call < 5; call += 1) {
    const response = await fetch(`${entryNode.url}/ok`, { method: 'POST', body: 'x' });
    statuses.push(response.status);
    await response.arrayBuffer();
  }
  await stop();
  server.close();
  return statuses;
};

test('a non-idempotent request is not lost when the server closes a kept-alive connection', async () => {
  // Guards against settlements of unknown outcome because the server closed an idle connection.
  assert.deepEqual(await callServerThatDropsReused(true), [200, 200, 200, 200, 200]);
  const statusesOnReused = await callServerThatDropsReused(false);
  assert.ok(
    statusesOnReused.includes(502),
    `without fresh connections a request must be lost: ${statusesOnReused.join()}`,
  );
});

type StopNode = (node: CallNodeFixture) => Promise<void>;

const stopGracefully: StopNode = async (node) => {
  await node.calls.drain();
  await node.transport.whenIdle(1000);
  await node.stop();
};

/** Stops the node without a drain. */
const stopAtOnce: StopNode = (node) => node.stop();

/** Stops both nodes during four calls; returns their results and that of a new call. */
const stopDuringCalls = async (stopNode: StopNode): Promise<string[]> => {
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { entryNode, serverNode } = await startPair(origin);
  const call = async (method: string): Promise<string> => {
    try {
      const response = await fetch(`${entryNode.url}/slow`, { method });
      return `${response.status} ${response.headers.get('x-sequoiafield-reason') ?? (await response.text())}`;
    } catch {
      return 'cut';
    }
  };
  const running = ['GET', 'POST', 'GET', 'POST'].map(call);
  await waitUntil(() => backendServer.runs.length === 4);
  const drains = [stopNode(serverNode), stopNode(entryNode)];
  const newCall = await call('POST');
  backendServer.release();
  const results = [...(await Promise.all(running)), newCall];
  await Promise.all(drains);
  server.closeAllConnections();
  server.close();
  return results;
};

test('a graceful stop completes running calls and refuses new ones as not run', async () => {
  // Guards against a stop that loses the answers of requests that ran.
  const done = '200 done';
  const results = await stopDuringCalls(stopGracefully);
  assert.deepEqual(results.slice(0, 4), [done, done, done, done]);
  assert.equal(results[4], '503 draining');
  const resultsWithoutDrain = await stopDuringCalls(stopAtOnce);
  assert.ok(
    resultsWithoutDrain.slice(0, 4).every((result) => result !== done),
    resultsWithoutDrain.join(),
  );
});

test('a draining node forwards calls made for a request that its backend server still runs', async () => {
  // Guards against a drain that fails a running request by refusing the calls made for it.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { entryNode, serverNode, stop } = await startPair(origin);
  serverNode.setMembers([entryNode.row]);
  const runningCall = fetch(`${entryNode.url}/slow`, {
    headers: { 'x-sequoiafield-request-id': 'outer' },
  });
  await waitUntil(() => backendServer.runs.includes('outer'));
  const drained = serverNode.calls.drain();
  const callWithId = (id: string) =>
    fetch(`${serverNode.url}/ok`, { headers: { 'x-sequoiafield-request-id': id } });
  const statuses = [(await callWithId('outer')).status, (await callWithId('other')).status];
  backendServer.release();
  statuses.push((await runningCall).status);
  await drained;
  await stop();
  server.close();
  assert.deepEqual(statuses, [200, 503, 200]);
});

test('a caller that disconnects cancels its request at the backend server', async () => {
  // Guards against work for disconnected callers, and against counting their calls as failures.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { entryNode, serverNode, stop } = await startPair(origin);
  const controller = new AbortController();
  const { signal } = controller;
  const call = fetch(`${entryNode.url}/hang`, { method: 'POST', body: 'x', signal }).catch(
    () => 'gone',
  );
  await waitUntil(() => backendServer.runs.length === 1);
  controller.abort();
  await call;
  await waitUntil(() => backendServer.cancelled === 1 && serverNode.released === 1);
  const counts = [
    backendServer.cancelled,
    serverNode.released,
    serverNode.evidence.length,
    entryNode.unanswered,
  ];
  await stop();
  server.close();
  assert.deepEqual(counts, [1, 1, 0, 0]);
});

test('an incomplete request body is not forwarded', async () => {
  // Guards against a backend server that runs a request that its caller did not send completely.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { entryNode, stop } = await startPair(origin);
  const socket = createConnection(entryNode.calls.callPort, '127.0.0.1');
  socket.write('POST /ok HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf');
  await setTimeout(40);
  socket.destroy();
  await setTimeout(40);
  await stop();
  server.close();
  assert.deepEqual(backendServer.runs, []);
});

test('a call to the own backend server uses no link', async () => {
  // Guards against the cost of a link between nodes if the call needs no other node.
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const { entryNode, stop } = await startPair(origin);
  entryNode.setMembers([entryNode.row]);
  const response = await fetch(`${entryNode.url}/ok`, { method: 'POST', body: 'x' });
  const { attemptsDirect, attemptsLinked } = entryNode.calls.counters;
  await stop();
  server.close();
  assert.deepEqual([response.status, attemptsDirect, attemptsLinked], [200, 1, 0]);
});

test('an answer for a disconnected caller is dropped, and a slow caller receives all of its answer', async () => {
  // Guards against an unhandled error of a caller's connection that would end the process.
  const body = Buffer.alloc(4 * 1024 * 1024, 'b');
  const [, origin] = await listen((_request, response) => response.end(body));
  const { entryNode } = await startPair(origin);
  const disconnectedSocket = createConnection(entryNode.calls.callPort, '127.0.0.1');
  disconnectedSocket.write('GET /ok HTTP/1.1\r\nhost: a\r\n\r\n');
  await waitUntil(() => disconnectedSocket.bytesRead > 0);
  disconnectedSocket.destroy();
  const response = await fetch(`${entryNode.url}/ok`);
  await setTimeout(100);
  assert.equal((await response.arrayBuffer()).byteLength, body.byteLength);
  await waitUntil(() => entryNode.calls.counters.callsAnswered === 2);
});
