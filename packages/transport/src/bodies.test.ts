import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { waitUntil } from '@sequoiafield/test-kit';
import { LinkRequestKind } from '@sequoiafield/types';
import { LinkClock } from './link-clock.js';
import { makeCallOpen } from './test-support/raw-peer.js';
import {
  makeAnswer,
  describeResult,
  readBody,
  TransportFixture,
} from './test-support/transport-fixture.js';

const chunk = Buffer.alloc(16 * 1024, 1);

/** Body that counts the bytes taken from it. */
class CountingBody implements AsyncIterable<Uint8Array> {
  takenBytes = 0;

  constructor(private readonly maxBytes: number) {}

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    while (this.takenBytes < this.maxBytes) {
      this.takenBytes += chunk.byteLength;
      yield chunk;
      await setTimeout(0);
    }
  }
}

const startPair = async (body: AsyncIterable<Uint8Array>, windowBytes: number) => {
  const limits = { windowBytes };
  const receiverNode = await new TransportFixture('b', async () => makeAnswer(body), {
    limits,
  }).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  return {
    receiverNode,
    senderNode,
    member,
    stop: () => Promise.all([senderNode.stop(), receiverNode.stop()]),
  };
};

test('a slow consumer limits its producer to the window', async () => {
  // Guards against answers that accumulate in memory because their caller reads slowly.
  const windowBytes = 64 * 1024;
  const body = new CountingBody(1024 * 1024);
  const { senderNode, member, stop } = await startPair(body, windowBytes);
  const { signal } = new AbortController();
  const result = await senderNode.transport.send(member, makeCallOpen(1), undefined, signal);
  assert.equal(result.kind, 'answer');
  await setTimeout(150);
  const takenBeforeReadBytes = body.takenBytes;
  const rest = result.kind === 'answer' ? await readBody(result.answer.body) : '';
  await stop();
  assert.ok(
    takenBeforeReadBytes <= windowBytes + chunk.byteLength,
    `${takenBeforeReadBytes} bytes were taken`,
  );
  assert.equal(rest.length, 1024 * 1024);
});

test('an answer larger than the maximum fails instead of appearing complete', async () => {
  // Guards against a single answer that exhausts the memory of a node.
  const body = new CountingBody(9 * 1024 * 1024);
  const { senderNode, member, stop } = await startPair(body, 1024 * 1024);
  const { signal } = new AbortController();
  const result = await senderNode.transport.send(member, makeCallOpen(1), undefined, signal);
  const resultText = await describeResult(result);
  await stop();
  assert.match(resultText, /broken: The body is larger than 8388608 bytes/);
});

test('a request body that fails at the sender also fails at the receiver', async () => {
  // Guards against a backend server that receives a partial request body as if it were complete.
  const receivedBodies: string[] = [];
  const receiverNode = await new TransportFixture('b', async (_open, body) => {
    receivedBodies.push(await readBody(body));
    return makeAnswer('');
  }).start();
  const senderNode = await new TransportFixture('a').start();
  const broken = async function* broken() {
    yield Buffer.from('half');
    throw new Error('the caller disconnected');
  };
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  const { signal } = new AbortController();
  const result = await senderNode.transport.send(member, makeCallOpen(1), broken(), signal);
  await waitUntil(() => receivedBodies.length === 1);
  await Promise.all([senderNode.stop(), receiverNode.stop()]);
  assert.deepEqual(
    [await describeResult(result), receivedBodies],
    ['unknown cancelled', ['broken: The sender cancelled the call']],
  );
});

test('requests are answered, fail without a handler and time out', async () => {
  // Guards against a request that never settles or that returns an error as its response.
  const receiverNode = await new TransportFixture('b').start();
  const senderNode = await new TransportFixture('a').start();
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  receiverNode.transport.handle(LinkRequestKind.Sections, (body, fromId) => ({ body, fromId }));
  receiverNode.transport.handle(LinkRequestKind.MemberRows, () => new Promise(() => {}));
  const sendRequest = (kind: LinkRequestKind) =>
    senderNode.transport.request(member, kind, ['x'], 1000);
  assert.deepEqual(await sendRequest(LinkRequestKind.Sections), { body: ['x'], fromId: 'a' });
  await assert.rejects(sendRequest(LinkRequestKind.FleetQuery), /No handler is registered/);
  await assert.rejects(sendRequest(LinkRequestKind.MemberRows), /No response within 1000 ms/);
  await Promise.all([senderNode.stop(), receiverNode.stop()]);
});

test('a deadline is never converted to a later local time', () => {
  // Guards against a late frame that appears to be in time, for any offset, delay and drift of the
  // clocks of two nodes.
  const times = fc.record({
    offsetMs: fc.integer({ min: -1e9, max: 1e9 }),
    driftPpm: fc.integer({ min: -100, max: 100 }),
    delaysMs: fc.array(fc.tuple(fc.nat(800), fc.nat(800)), { minLength: 1, maxLength: 20 }),
  });
  fc.assert(
    fc.property(times, ({ offsetMs, driftPpm, delaysMs }) => {
      const clock = new LinkClock();
      const peerAt = (localMs: number): number => (localMs - offsetMs) * (1 + driftPpm * 1e-6);
      let nowMs = 0;
      for (const [outwardMs, returnMs] of delaysMs) {
        const sentMs = nowMs;
        clock.sample(sentMs, peerAt(sentMs + outwardMs), sentMs + outwardMs + returnMs);
        nowMs += outwardMs + returnMs + 500;
        // 1 ms covers rounding and the drift within one exchange of timestamps.
        const convertedMs = clock.toLocalMs(peerAt(nowMs)) ?? -Infinity;
        assert.ok(convertedMs <= nowMs + 1, `converted to ${convertedMs - nowMs} ms too late`);
      }
    }),
    { seed: 7, numRuns: 300 },
  );
});
