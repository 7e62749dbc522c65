import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitUntil } from '@sequoiafield/test-kit';
import { encodeValue } from './call-codec.js';
import { encodeByteCount, encodeFrame, FrameKind } from './frames.js';
import { makeCallOpen, RawPeer } from './test-support/raw-peer.js';
import { describeResult, TransportFixture } from './test-support/transport-fixture.js';

test('an answer frame with an invalid status is a failed exchange', async (t) => {
  // Guards against a status such as 000 that another node passes on.
  const { port, server, peers } = await RawPeer.listen('b');
  const senderNode = await new TransportFixture('a').start();
  t.after(async () => {
    await senderNode.stop();
    server.close();
  });
  const member = TransportFixture.makeMember('b', port);
  const statuses = [0, 99, 100, 101, 199, 600, 999, -20, 2000, 200.5, NaN, '200', '+20', null];
  const results: string[] = [];
  for (const [index, status] of statuses.entries()) {
    const { signal } = new AbortController();
    const id = index + 1;
    const result = senderNode.transport.send(member, makeCallOpen(id), undefined, signal);
    await waitUntil(() => peers.length === 1);
    await peers[0]!.waitFor(FrameKind.Open, id);
    const head = encodeFrame(FrameKind.Answer, id, encodeValue([status, [], null]));
    peers[0]!.send(head, encodeFrame(FrameKind.End, id, encodeByteCount(0)));
    results.push(await describeResult(await result));
  }
  assert.deepEqual(
    results,
    statuses.map(() => 'unknown backend-server-failed'),
  );
});
