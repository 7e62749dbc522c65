import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { waitUntil } from '@sequoiafield/test-kit';
import { CallNodeFixture, listen } from './test-support/call-node-fixture.js';
import { PipeliningCaller } from './test-support/pipelining-caller.js';

/** Time in which a request that is wrongly started would reach the backend server. */
const settleMs = 60;

/** Starts a node whose backend server holds each request of a path with `held` until it is released. */
const start = async (answerBytes = 0) => {
  const runs: string[] = [];
  const held = new Map<string, ServerResponse>();
  const cancelled: string[] = [];
  const body = (path: string): string => path.padEnd(answerBytes, '.');
  const [, origin] = await listen((request, response) => {
    const path = request.url ?? '';
    runs.push(path);
    request.resume();
    response.on('close', () => response.writableFinished || cancelled.push(path));
    if (path.includes('held')) held.set(path, response);
    else if (path.includes('cut')) {
      response.writeHead(200, { 'content-length': '10' });
      response.write('half', () => response.socket?.destroy());
    } else response.end(body(path));
  });
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  const caller = new PipeliningCaller(node.calls.callPort);
  const release = (path: string): unknown => held.get(path)?.end(body(path));
  const bodies = (): string[] => caller.answers.map((answer) => answer.body.replace(/\.+$/, ''));
  return { node, runs, held, cancelled, caller, release, bodies };
};

test('idempotent requests run at the same time, and each answer is whole and in its place', async () => {
  // Guards against answers in the order of their completion, which callers give to other requests.
  const { runs, caller, release, bodies } = await start(300_000);
  caller.send(['GET /held1', 'GET /2', 'GET /held3', 'GET /4']);
  await waitUntil(() => runs.length === 4);
  release('/held3');
  await delay(settleMs);
  assert.deepEqual(bodies(), []);
  release('/held1');
  await waitUntil(() => bodies().length === 4);
  assert.deepEqual(bodies(), ['/held1', '/2', '/held3', '/4']);
});

test('a non-idempotent request starts when the answers ahead are sent, and none starts beside it', async () => {
  // Guards against a payment that runs although its caller has to send it again after a close.
  const { runs, caller, release, bodies } = await start();
  caller.send(['GET /held1', 'POST /held2', 'GET /3']);
  await delay(settleMs);
  assert.deepEqual(runs, ['/held1']);
  release('/held1');
  await waitUntil(() => runs.length === 2);
  await delay(settleMs);
  assert.deepEqual(runs, ['/held1', '/held2']);
  release('/held2');
  await waitUntil(() => bodies().length === 3);
  assert.deepEqual(bodies(), ['/held1', '/held2', '/3']);
});

test('a stopping node starts nothing behind the answer that asks to close', async () => {
  // Guards against requests that run at a stopping node and again where their caller sends them.
  const { node, runs, caller, release } = await start();
  caller.send(['GET /held1', 'POST /2']);
  await waitUntil(() => runs.length === 1);
  node.calls.startClosingConnections();
  caller.send(['GET /3']);
  await delay(settleMs);
  release('/held1');
  await waitUntil(() => caller.isClosed);
  await delay(settleMs);
  assert.deepEqual(caller.answers, [{ status: '200', body: '/held1', isLast: true }]);
  assert.deepEqual(runs, ['/held1']);
  assert.equal(node.calls.runningCount, 0);
});

test('an idempotent request that runs behind an answer with a close is cancelled', async () => {
  // Guards against its answer on the connection, and against a node that waits for it in a drain.
  const { node, runs, cancelled, caller, release } = await start();
  caller.send(['GET /held1', 'GET /held2']);
  await waitUntil(() => runs.length === 2);
  node.calls.startClosingConnections();
  release('/held1');
  await waitUntil(() => caller.isClosed && node.calls.runningCount === 0);
  assert.equal(caller.answers.length, 1);
  await waitUntil(() => cancelled.includes('/held2'));
});

test('a request that is read after the last answer of its connection does not run', async () => {
  // Guards against a payment that runs while its caller, a slow reader, receives the close.
  const { node, runs, caller } = await start(6_000_000);
  node.calls.startClosingConnections();
  caller.socket.pause();
  caller.send(['GET /1']);
  await waitUntil(() => node.calls.counters.callsAnswered === 1);
  await delay(settleMs);
  caller.send(['POST /2']);
  await delay(settleMs);
  caller.socket.resume();
  await waitUntil(() => caller.isClosed);
  assert.deepEqual([runs, caller.answers.length], [['/1'], 1]);
});

test('what one connection may have pending is bounded, and all of it is answered', async () => {
  // Guards against one caller that takes all slots, and against memory that grows with its requests.
  const { runs, node, caller, release, bodies } = await start();
  const paths = Array.from({ length: 60 }, (_, index) => `/${index}`);
  caller.send(['GET /held', ...paths.map((path) => `GET ${path}`)]);
  await delay(settleMs);
  assert.ok(runs.length <= 16, `${runs.length} requests were started`);
  const { socket } = caller;
  const wide = 'x-wide: '.padEnd(15_000, 'w');
  for (let index = 0; index < 1000; index += 1) caller.send([`GET /wide${index}`], `${wide}\r\n`);
  await delay(settleMs);
  assert.ok(socket.bytesWritten - socket.writableLength <= 15_000_000, 'reading pauses');
  assert.ok(node.calls.runningCount <= 16, `${node.calls.runningCount} requests run`);
  release('/held');
  await waitUntil(() => bodies().length === 1061);
  assert.deepEqual(bodies().slice(0, 61), ['/held', ...paths]);
});

test('requests beyond those that are kept are not run, and the last answer ahead asks to close', async () => {
  // Guards against thousands of requests that one read of a connection creates.
  const { runs, caller } = await start();
  caller.send(Array.from({ length: 1000 }, (_, index) => `GET /${index}`));
  await waitUntil(() => caller.isClosed);
  const { answers } = caller;
  assert.deepEqual([answers.length < 1000, answers.at(-1)?.isLast], [true, true]);
  assert.equal(runs.length, answers.length);
});

test('a caller that closes its connection cancels all of its requests', async () => {
  // Guards against work for a caller that has left, and against a drain that never ends.
  const { node, runs, cancelled, caller, release } = await start();
  caller.send(['GET /held1', 'GET /held2', 'POST /3']);
  await waitUntil(() => runs.length === 2);
  caller.socket.destroy();
  await waitUntil(() => cancelled.length === 2 && node.calls.runningCount === 0);
  release('/held1');
  await delay(settleMs);
  assert.deepEqual(runs, ['/held1', '/held2']);
});

test('a caller that closes within a request cancels its requests', async () => {
  // Guards against work for a caller that has left with half of a head or a body sent.
  const halves = ['GET /3 HTT', 'POST /3 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf'];
  for (const half of halves) {
    const { node, runs, cancelled, caller } = await start();
    caller.send(['GET /held1']);
    await waitUntil(() => runs.length === 1);
    caller.socket.end(half);
    await waitUntil(() => cancelled.length === 1 && node.calls.runningCount === 0);
    assert.deepEqual(runs, ['/held1']);
  }
});

test('bytes that are no request do not replace the answer ahead', async () => {
  // Guards against a refusal of the bytes that the caller takes for the answer to its request.
  const lastRequestLine = 'connection: close\r\n';
  for (const headerLines of ['', lastRequestLine]) {
    const { runs, caller, release } = await start();
    caller.send(['GET /held1'], headerLines);
    await waitUntil(() => runs.length === 1);
    caller.socket.write(headerLines ? 'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n' : 'NO REQUEST\r\n\r\n');
    await delay(settleMs);
    release('/held1');
    await waitUntil(() => caller.isClosed);
    assert.deepEqual(caller.answers, [{ status: '200', body: '/held1', isLast: true }]);
  }
});

test('an answer that fails half-way ends its connection in its turn', async () => {
  // Guards against a connection that stays open without the rest, and against a cut of answers ahead.
  const { runs, caller, release, bodies } = await start();
  caller.send(['GET /held1', 'GET /cut2', 'GET /held3']);
  await waitUntil(() => runs.length === 3);
  await delay(settleMs);
  release('/held3');
  release('/held1');
  await waitUntil(() => caller.isClosed);
  assert.deepEqual(bodies(), ['/held1']);
});
