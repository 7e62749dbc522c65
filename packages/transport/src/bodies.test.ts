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

/** Body that counts what was taken from it. */
class CountedBody implements AsyncIterable<Uint8Array> {
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

const makePair = async (body: AsyncIterable<Uint8Array>, windowBytes: number) => {
  const limits = { windowBytes };
  const far = await new TransportFixture('b', async () => makeAnswer(body), { limits }).start();
  const near = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', far.transport.linkPort);
  return { far, near, member, stop: () => Promise.all([near.stop(), far.stop()]) };
};

test('a slow consumer holds the producer within the window', async () => {
  // Guards against answers that pile up in memory for a caller that reads slowly.
  const windowBytes = 64 * 1024;
  const body = new CountedBody(1024 * 1024);
  const { near, member, stop } = await makePair(body, windowBytes);
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeCallOpen(1), undefined, signal);
  assert.equal(result.kind, 'answer');
  await setTimeout(150);
  const heldBytes = body.takenBytes;
  const rest = result.kind === 'answer' ? await readBody(result.answer.body) : '';
  await stop();
  assert.ok(heldBytes <= windowBytes + chunk.byteLength, `${heldBytes} bytes were taken`);
  assert.equal(rest.length, 1024 * 1024);
});

test('an answer larger than the bound breaks instead of looking complete', async () => {
  // Guards against one answer that fills the memory of a node.
  const body = new CountedBody(9 * 1024 * 1024);
  const { near, member, stop } = await makePair(body, 1024 * 1024);
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeCallOpen(1), undefined, signal);
  const seen = await describeResult(result);
  await stop();
  assert.match(seen, /broken: The body is larger than 8388608 bytes/);
});

test('a request body that breaks off is broken for the receiver', async () => {
  // Guards against a backend server that gets half a request as if it were whole.
  const seen: string[] = [];
  const far = await new TransportFixture('b', async (_open, body) => {
    seen.push(await readBody(body));
    return makeAnswer('');
  }).start();
  const near = await new TransportFixture('a').start();
  const broken = async function* broken() {
    yield Buffer.from('half');
    throw new Error('the caller went away');
  };
  const member = TransportFixture.makeMember('b', far.transport.linkPort);
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeCallOpen(1), broken(), signal);
  await waitUntil(() => seen.length === 1);
  await Promise.all([near.stop(), far.stop()]);
  assert.deepEqual(
    [await describeResult(result), seen],
    ['unknown cancelled', ['broken: The sender cancelled the call']],
  );
});

test('requests are answered, fail with the handler and time out', async () => {
  // Guards against a bulk exchange that hangs or takes an error for a response.
  const far = await new TransportFixture('b').start();
  const near = await new TransportFixture('a').start();
  const member = TransportFixture.makeMember('b', far.transport.linkPort);
  far.transport.handle(LinkRequestKind.Sections, (body, fromId) => ({ body, fromId }));
  far.transport.handle(LinkRequestKind.MemberRows, () => new Promise(() => {}));
  const ask = (kind: LinkRequestKind) => near.transport.request(member, kind, ['x'], 1000);
  assert.deepEqual(await ask(LinkRequestKind.Sections), { body: ['x'], fromId: 'a' });
  await assert.rejects(ask(LinkRequestKind.FleetQuery), /No handler is registered/);
  await assert.rejects(ask(LinkRequestKind.MemberRows), /No response within 1000 ms/);
  await Promise.all([near.stop(), far.stop()]);
});

test('a deadline is never placed later than it is', () => {
  // Guards against a late frame that looks in time for any offset, delay and drift of two clocks.
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
      for (const [thereMs, backMs] of delaysMs) {
        const sentMs = nowMs;
        clock.sample(sentMs, peerAt(sentMs + thereMs), sentMs + thereMs + backMs);
        nowMs += thereMs + backMs + 500;
        // 1 ms covers rounding and the drift within one exchange.
        const placedMs = clock.toLocalMs(peerAt(nowMs)) ?? -Infinity;
        assert.ok(placedMs <= nowMs + 1, `placed ${placedMs - nowMs} ms late`);
      }
    }),
    { seed: 7, numRuns: 300 },
  );
});
