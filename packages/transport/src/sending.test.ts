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
const head = (id: number) =>
  encodeFrame(FrameKind.Answer, id, encodeAnswer({ status: 200, headers: [], load }));
const data = (id: number, text: string, offset = 0) =>
  encodeDataFrame(id, offset, Buffer.from(text));
const end = (id: number, bytes: number) => encodeFrame(FrameKind.End, id, encodeByteCount(bytes));
const refuse = (id: number) =>
  encodeFrame(
    FrameKind.Refuse,
    id,
    encodeRefusal({ outcome: RefusalOutcome.NotRun, reason: RefusalReason.Draining, detail: '' }),
  );

/** What the peer sends once the calls 1 and 2 were opened. */
const answers: Record<string, Uint8Array[][]> = {
  'in order': [head(1), data(1, 'one'), end(1, 3), head(2), data(2, 'two'), end(2, 3)],
  crossed: [head(2), data(2, 'two'), head(1), data(1, 'one'), end(2, 3), end(1, 3)],
  'of an attempt that is over first': [
    ...[head(9), data(9, 'old'), end(9, 3)],
    ...[head(1), data(1, 'one'), end(1, 3), head(2), data(2, 'two'), end(2, 3)],
  ],
  'doubled head': [head(1), head(1), data(1, 'one'), end(1, 3), refuse(2)],
  'refusal after the head': [head(1), refuse(1), data(1, 'one'), end(1, 3), refuse(2)],
  'data frame missing': [head(1), data(1, 'ne', 1), end(1, 3), refuse(2)],
  'data frame doubled': [head(1), data(1, 'o'), data(1, 'o'), end(1, 2), refuse(2)],
  truncated: [head(1), data(1, 'on'), end(1, 3), refuse(2)],
  'reset in the body': [head(1), data(1, 'on'), encodeFrame(FrameKind.Reset, 1), refuse(2)],
};

const runAnswers = async (
  frames: Uint8Array[][],
  mechanisms: Partial<TransportMechanisms>,
): Promise<{ one: string; two: string; dropped: number }> => {
  const { port, server, peer } = await RawPeer.listen('b');
  const node = await new TransportFixture('a', undefined, { mechanisms }).start();
  const { signal } = new AbortController();
  const member = TransportFixture.makeMember('b', port);
  const results = [1, 2].map((id) =>
    node.transport.send(member, makeCallOpen(id, { isIdempotent: true }), undefined, signal),
  );
  await waitUntil(() => peer[0] !== undefined);
  await peer[0]!.waitFor(FrameKind.Open, 2);
  peer[0]!.send(...frames);
  const [one, two] = await Promise.all(results.map(async (result) => describeResult(await result)));
  const { lateFramesDropped, crossedFramesDropped } = node.transport.counters;
  await node.stop();
  server.close();
  return { one: one!, two: two!, dropped: lateFramesDropped + crossedFramesDropped };
};

/** Takes every frame for the oldest call, as a link without ids would. */
class OrderMatcher implements ExchangeMatcher {
  match<E>(_id: number, entries: ReadonlyMap<number, E>): E | undefined {
    return entries.values().next().value;
  }
}

test('each call gets the complete answer to itself or none', async () => {
  // Guards against answers that reach another call, and against cut bodies that look complete.
  const table: Record<string, unknown> = {};
  for (const [name, frames] of Object.entries(answers)) {
    table[name] = await runAnswers(frames, {});
  }
  matchSnapshot(import.meta.filename, 'results per order of answers', table);
});

test('without the mechanisms, answers reach other calls and cut bodies look complete', async () => {
  // Shows that the test above would notice.
  const crossed = await runAnswers(answers.crossed!, { matcher: new OrderMatcher() });
  const bodyCheck = { continues: () => true, isComplete: () => true };
  const truncated = await runAnswers(answers.truncated!, { bodyCheck });
  assert.notEqual(crossed.one, 'answer one');
  assert.equal(truncated.one, 'answer on');
});

test('an answer after the cancel is dropped and counted', async () => {
  // Guards against a late answer that is taken for one of a later attempt.
  const { port, server, peer } = await RawPeer.listen('b');
  const node = await new TransportFixture('a').start();
  const controller = new AbortController();
  const member = TransportFixture.makeMember('b', port);
  const result = node.transport.send(member, makeCallOpen(1), undefined, controller.signal);
  await waitUntil(() => peer[0] !== undefined);
  await peer[0]!.waitFor(FrameKind.Open);
  controller.abort();
  const seen = await describeResult(await result);
  await peer[0]!.waitFor(FrameKind.Cancel);
  peer[0]!.send(head(1), data(1, 'one'), end(1, 3));
  await waitUntil(() => node.transport.counters.lateFramesDropped === 3);
  const { lateFramesDropped } = node.transport.counters;
  await node.stop();
  server.close();
  assert.deepEqual(
    { seen, lateFramesDropped },
    { seen: 'unknown cancelled', lateFramesDropped: 3 },
  );
});
