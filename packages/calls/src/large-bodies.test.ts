import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { after, test } from 'node:test';
import { sampleOpen, waitUntil } from '@sequoiafield/test-kit';
import { monotonicNowMs } from '@sequoiafield/tables';
import { BodyMemoryBudget } from '@sequoiafield/transport';
import { RefusalReason } from '@sequoiafield/types';
import { createBodyMemory, type BodyMemory } from './index.js';
import { createNotRunRefusal } from './refusals.js';
import {
  CallNodeFixture,
  listen,
  type CallNodeFixtureOptions,
} from './test-support/call-node-fixture.js';
import { PipeliningCaller } from './test-support/pipelining-caller.js';

const upload = Buffer.alloc(300_000, 'sixteen bytes...');
const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('hex');

/** Every memory of the tests; nothing may be left in it when they have ended. */
const memories: BodyMemory[] = [];
after(() => {
  for (const { node, server } of memories) {
    assert.deepEqual([node.heldBytes, server.heldBytes], [0, 0], 'memory is not given back');
  }
});

const createMemory = (changes: Partial<BodyMemory> = {}): BodyMemory => {
  const memory = { ...createBodyMemory(), ...changes };
  memories.push(memory);
  return memory;
};

const startNode = (id: string, options: CallNodeFixtureOptions = {}): Promise<CallNodeFixture> =>
  new CallNodeFixture(id, { bodyMemory: createMemory(), ...options }).start();

/** Starts a server that answers each body with its digest, and holds those of `/upload/held`. */
const startServer = async (answer?: Buffer) => {
  const held: ServerResponse[] = [];
  const [, origin] = await listen((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url === '/upload/held') held.push(response);
      else response.end(answer ?? digestOf(Buffer.concat(chunks)));
    });
  });
  return { origin, held };
};

const post = async (
  node: CallNodeFixture,
  path: string,
  body: Uint8Array | string | ReadableStream = upload,
) => {
  const response = await fetch(`${node.url}${path}`, { method: 'POST', body, duplex: 'half' });
  const outcome = response.headers.get('x-sequoiafield-outcome');
  return [response.status, outcome ?? (await response.text())];
};

test('a refused upload that is held whole goes to another member', async () => {
  // Guards against refusals of uploads for which another member has capacity.
  const { origin } = await startServer();
  const refusal = createNotRunRefusal(RefusalReason.QueueFull, 'full');
  const fullNode = await startNode('b', { origin, admit: () => refusal });
  const freeNode = await startNode('c', { origin });
  const entryNode = await startNode('a');
  entryNode.setMembers([fullNode.row, freeNode.row]);
  assert.deepEqual(await post(entryNode, '/upload'), [200, digestOf(upload)]);
  const chunks = new Blob([upload]).stream();
  assert.deepEqual(await post(entryNode, '/upload', chunks), [200, digestOf(upload)], 'chunks');
  assert.deepEqual(await post(entryNode, '/other'), [503, 'not-run'], 'streamed on other routes');
  const tooLarge = Buffer.alloc(900_000);
  assert.deepEqual(await post(entryNode, '/upload', tooLarge), [503, 'not-run'], 'streamed');
  entryNode.setMembers([freeNode.row]);
  assert.deepEqual(await post(entryNode, '/upload', tooLarge), [200, digestOf(tooLarge)]);
});

test('a body takes no slot before it has arrived', async () => {
  // Guards against slow senders that take all slots of a server.
  const { origin } = await startServer();
  const node = await startNode('b', { origin });
  const entryNode = await startNode('a');
  entryNode.setMembers([node.row]);
  const caller = new PipeliningCaller(entryNode.calls.callPort);
  caller.send(['POST /upload'], `content-length: ${upload.byteLength}\r\n`);
  caller.socket.write(upload.subarray(0, 200_000));
  async function* slowBody() {
    yield upload.subarray(0, 200_000);
    await delay(150);
    yield upload.subarray(200_000);
  }
  const sequence = entryNode.transport.attemptSequence.next();
  const open = sampleOpen({
    ...{ service: 'settlement', method: 'POST', headers: [['content-length', '300000']] },
    attempt: { senderId: 'a', senderIncarnation: 1000, sequence, receiverIncarnation: 1000 },
    deadlineAtMs: monotonicNowMs() + 5000,
  });
  const { signal } = new AbortController();
  const linked = entryNode.transport.send(node.row, open, slowBody(), signal);
  await delay(100);
  assert.equal(node.asked, 0);
  caller.socket.write(upload.subarray(200_000));
  await waitUntil(() => caller.answers.length === 1);
  assert.equal((await linked).kind, 'answer');
  assert.equal(node.asked, 2);
});

test('a slow reader of an answer does not hold the slot of its call', async () => {
  // Guards against callers on slow links that take all slots, and a server that cuts them off.
  // More than the sockets' buffers take.
  const answer = Buffer.alloc(7_500_000, 'a');
  const bodyMemory = createMemory({ answerMaxBytes: 8_000_000 });
  const { origin } = await startServer(answer);
  const backend = { bufferedAnswerMaxBytes: 256 * 1024 };
  const node = await startNode('b', { origin, backend, bodyMemory });
  const entryNode = await startNode('a');
  entryNode.setMembers([node.row]);
  const caller = new PipeliningCaller(entryNode.calls.callPort);
  caller.socket.pause();
  caller.send(['GET /x']);
  await waitUntil(() => node.released === 1);
  caller.socket.resume();
  await waitUntil(() => caller.socket.bytesRead > answer.byteLength);
});

test('the request bodies at a server are bounded', async () => {
  // Guards against a server that crashes, since the bodies that it holds exceed its memory.
  const { origin, held } = await startServer();
  const memory = createMemory({ server: new BodyMemoryBudget(700_000) });
  const node = await startNode('b', { origin, bodyMemory: memory });
  const entryNode = await startNode('a');
  entryNode.setMembers([node.row]);
  const calls = [1, 2].map(() => post(entryNode, '/upload/held'));
  await waitUntil(() => held.length === 2);
  assert.deepEqual(await post(entryNode, '/upload'), [503, 'not-run']);
  held.forEach((response) => response.end('done'));
  assert.deepEqual(
    await Promise.all(calls),
    [1, 2].map(() => [200, 'done']),
  );
  assert.deepEqual(await post(entryNode, '/upload'), [200, digestOf(upload)]);
});

test('an upload without memory waits unread, and is refused as not run with a hint', async () => {
  // Guards against memory that grows with the callers, and a reset in place of the refusal.
  const { origin } = await startServer();
  const node = new BodyMemoryBudget(1_000_000);
  const entryNode = await startNode('a', { origin, bodyMemory: createMemory({ node }) });
  entryNode.setMembers([entryNode.row]);
  node.add(900_000);
  const early = post(entryNode, '/upload');
  await waitUntil(() => node.waits === 1);
  assert.deepEqual(await post(entryNode, '/other', 'small'), [200, digestOf(Buffer.from('small'))]);
  node.release(900_000);
  assert.deepEqual(await early, [200, digestOf(upload)]);
  node.add(900_000);
  assert.deepEqual(await post(entryNode, '/upload'), [503, 'not-run']);
  assert.deepEqual([node.refusals, node.peakBytes <= 1_300_000], [1, true]);
  const caller = new PipeliningCaller(entryNode.calls.callPort);
  caller.send(['POST /upload'], `content-length: ${upload.byteLength}\r\n`);
  await waitUntil(() => node.refusals === 2);
  caller.socket.write(upload);
  await waitUntil(() => caller.answers.length === 1);
  caller.send(['GET /next']);
  await waitUntil(() => caller.answers.length === 2);
  assert.deepEqual([caller.answers[0]!.status, caller.answers[1]!.status], ['503', '200']);
  node.release(900_000);
});

test('bodies that are not completed give their memory back', async () => {
  // Guards against memory that is lost with each caller that leaves, until all uploads are refused.
  const { origin } = await startServer();
  const node = await startNode('b', { origin });
  const entryNode = await startNode('a');
  entryNode.setMembers([node.row]);
  for (const [path, sentBytes] of [['/upload', 200_000] as const, ['/other', 100_000] as const]) {
    const caller = new PipeliningCaller(entryNode.calls.callPort);
    caller.send([`POST ${path}`], `content-length: ${upload.byteLength}\r\n`);
    caller.socket.write(upload.subarray(0, sentBytes));
    await waitUntil(() => entryNode.calls.runningCount === 1);
    await delay(20);
    caller.socket.destroy();
    await waitUntil(() => entryNode.calls.runningCount === 0);
  }
  await waitUntil(() => memories.every((memory) => memory.node.heldBytes === 0));
});
