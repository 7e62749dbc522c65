import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import { RefusalOutcome, RefusalReason } from '@sequoiafield/types';
import { encodeAnswer, encodeRefusal } from './call-codec.js';
import type { ExchangeMatcher } from './exchange-matcher.js';
import { encodeByteCount, encodeDataFrame, encodeFrame, FrameKind } from './frames.js';
import type { TransportMechanisms } from './index.js';
import { RawPeer, makeCallOpen } from './test-support/raw-peer.js';
import { describeResult, TransportFixture } from './test-support/transport-fixture.js';

const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 10 };
const encodeHead = (id: number) =>
  encodeFrame(FrameKind.Answer, id, encodeAnswer({ status: 200, headers: [], load }));
const encodeData = (id: number, text: string, offset = 0) =>
  encodeDataFrame(id, offset, Buffer.from(text));
const encodeEnd = (id: number, bytes: number) =>
  encodeFrame(FrameKind.End, id, encodeByteCount(bytes));
const encodeRefuse = (id: number) =>
  encodeFrame(
    FrameKind.Refuse,
    id,
    encodeRefusal({ outcome: RefusalOutcome.NotRun, reason: RefusalReason.Draining, detail: '' }),
  );

/** Frames that the peer sends after it received the open frames of calls 1 and 2. */
const framesByOrder: Record<string, Uint8Array[][]> = {
  'in order': [
    encodeHead(1),
    encodeData(1, 'one'),
    encodeEnd(1, 3),
    encodeHead(2),
    encodeData(2, 'two'),
    encodeEnd(2, 3),
  ],
  crossed: [
    encodeHead(2),
    encodeData(2, 'two'),
    encodeHead(1),
    encodeData(1, 'one'),
    encodeEnd(2, 3),
    encodeEnd(1, 3),
  ],
  'of an ended attempt first': [
    ...[encodeHead(9), encodeData(9, 'old'), encodeEnd(9, 3)],
    ...[
      encodeHead(1),
      encodeData(1, 'one'),
      encodeEnd(1, 3),
      encodeHead(2),
      encodeData(2, 'two'),
      encodeEnd(2, 3),
    ],
  ],
  'duplicate head': [
    encodeHead(1),
    encodeHead(1),
    encodeData(1, 'one'),
    encodeEnd(1, 3),
    encodeRefuse(2),
  ],
  'refusal after the head': [
    encodeHead(1),
    encodeRefuse(1),
    encodeData(1, 'one'),
    encodeEnd(1, 3),
    encodeRefuse(2),
  ],
  'data frame missing': [encodeHead(1), encodeData(1, 'ne', 1), encodeEnd(1, 3), encodeRefuse(2)],
  'data frame duplicated': [
    encodeHead(1),
    encodeData(1, 'o'),
    encodeData(1, 'o'),
    encodeEnd(1, 2),
    encodeRefuse(2),
  ],
  truncated: [encodeHead(1), encodeData(1, 'on'), encodeEnd(1, 3), encodeRefuse(2)],
  'reset in the body': [
    encodeHead(1),
    encodeData(1, 'on'),
    encodeFrame(FrameKind.Reset, 1),
    encodeRefuse(2),
  ],
};

const runAnswers = async (
  frames: Uint8Array[][],
  mechanisms: Partial<TransportMechanisms>,
): Promise<{ one: string; two: string; dropped: number }> => {
  const { port, server, peers } = await RawPeer.listen('b');
  const node = await new TransportFixture('a', undefined, { mechanisms }).start();
  const { signal } = new AbortController();
  const member = TransportFixture.makeMember('b', port);
  const results = [1, 2].map((id) =>
    node.transport.send(member, makeCallOpen(id, { isIdempotent: true }), undefined, signal),
  );
  await waitUntil(() => peers[0] !== undefined);
  await peers[0]!.waitFor(FrameKind.Open, 2);
  peers[0]!.send(...frames);
  const [one, two] = await Promise.all(results.map(async (result) => describeResult(await result)));
  const { lateFramesDropped, crossedFramesDropped } = node.transport.counters;
  await node.stop();
  server.close();
  return { one: one!, two: two!, dropped: lateFramesDropped + crossedFramesDropped };
};

/** Assigns every frame to the oldest call, as a link without ids would. */
class OldestExchangeMatcher implements ExchangeMatcher {
  match<E>(_id: number, entries: ReadonlyMap<number, E>): E | undefined {
    return entries.values().next().value;
  }
}

test('each call gets its own complete answer or none', async () => {
  // Guards against answers that reach another call and truncated bodies that appear complete.
  const resultsByOrder: Record<string, unknown> = {};
  for (const [name, frames] of Object.entries(framesByOrder)) {
    resultsByOrder[name] = await runAnswers(frames, {});
  }
  matchSnapshot(import.meta.filename, 'results per order of answers', resultsByOrder);
});

test('without the mechanisms, answers reach other calls and truncated bodies appear complete', async () => {
  // Checks that the test above fails if either mechanism is missing.
  const crossed = await runAnswers(framesByOrder.crossed!, {
    matcher: new OldestExchangeMatcher(),
  });
  const bodyCheck = { continues: () => true, isComplete: () => true };
  const truncated = await runAnswers(framesByOrder.truncated!, { bodyCheck });
  assert.notEqual(crossed.one, 'answer one');
  assert.equal(truncated.one, 'answer on');
});

test('an answer that arrives after the cancel is dropped and counted', async () => {
  // Guards against a late answer that is accepted for a later attempt.
  const { port, server, peers } = await RawPeer.listen('b');
  const node = await new TransportFixture('a').start();
  const controller = new AbortController();
  const member = TransportFixture.makeMember('b', port);
  const result = node.transport.send(member, makeCallOpen(1), undefined, controller.signal);
  await waitUntil(() => peers[0] !== undefined);
  await peers[0]!.waitFor(FrameKind.Open);
  controller.abort();
  const resultText = await describeResult(await result);
  await peers[0]!.waitFor(FrameKind.Cancel);
  peers[0]!.send(encodeHead(1), encodeData(1, 'one'), encodeEnd(1, 3));
  await waitUntil(() => node.transport.counters.lateFramesDropped === 3);
  const { lateFramesDropped } = node.transport.counters;
  await node.stop();
  server.close();
  assert.deepEqual(
    { resultText, lateFramesDropped },
    { resultText: 'unknown cancelled', lateFramesDropped: 3 },
  );
});
