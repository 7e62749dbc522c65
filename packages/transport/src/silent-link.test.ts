import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import type { ResendPolicy } from './resend-policy.js';
import { makeCallOpen } from './test-support/raw-peer.js';
import { makeAnswer, describeResult, TransportFixture } from './test-support/transport-fixture.js';
import { SilenceableProxy } from './test-support/silenceable-proxy.js';

/** A third of the default stall timeout, so that the test is fast. */
const limits = { heartbeatMs: 100, stallTimeoutMs: 500, dialTimeoutMs: 1000 };

type Fault = (proxy: SilenceableProxy) => void;

const faults: Record<string, Fault> = {
  'silent both ways': (proxy) => {
    proxy.silenceToTarget();
    proxy.silenceToDialer();
  },
  'silent towards the receiver': (proxy) => proxy.silenceToTarget(),
  'silent towards the sender': (proxy) => proxy.silenceToDialer(),
  cut: (proxy) => proxy.cut(),
  'permanently cut': (proxy) => proxy.stop(),
};

/** Sends a call of each kind on a link that fails before or after their open frames. */
const runFault = async (
  fault: Fault,
  isBefore: boolean,
  resendPolicy?: ResendPolicy,
): Promise<Record<string, unknown>> => {
  const receiverNode = await new TransportFixture('b', async (open) => {
    await setTimeout(80);
    return makeAnswer(`for ${open.requestId}`);
  }).start();
  const proxy = await new SilenceableProxy(receiverNode.transport.linkPort).start();
  const mechanisms = resendPolicy ? { resendPolicy } : {};
  const senderNode = await new TransportFixture('a', undefined, { limits, mechanisms }).start();
  const { signal } = new AbortController();
  const member = TransportFixture.makeMember('b', proxy.port);
  const send = async (isIdempotent: boolean, requestId: string): Promise<string> => {
    const open = makeCallOpen(senderNode.transport.attemptSequence.next(), {
      isIdempotent,
      requestId,
    });
    return describeResult(await senderNode.transport.send(member, open, undefined, signal));
  };
  await send(true, 'warm-up');
  if (isBefore) fault(proxy);
  const results = [send(true, 'lookup'), send(false, 'settle')];
  if (!isBefore) {
    await waitUntil(() => receiverNode.executedRequestIds.includes('settle'));
    fault(proxy);
  }
  const [lookup, settle] = await Promise.all(results);
  // Leaves time for a duplicate run that was sent before the calls ended.
  await setTimeout(100);
  const settleRunCount = receiverNode.executedRequestIds.filter((id) => id === 'settle').length;
  await senderNode.stop();
  proxy.stop();
  await receiverNode.stop();
  return { lookup, settle, settleRunCount };
};

test('calls on a link that goes silent or breaks end with an accurate outcome', async () => {
  // Guards against calls that hang on a silent link, duplicate runs, and a refusal "not run" of a
  // call that may have run.
  const resultsByFault: Record<string, unknown> = {};
  for (const [name, fault] of Object.entries(faults)) {
    resultsByFault[`${name}, before the open frame`] = await runFault(fault, true);
    resultsByFault[`${name}, while the call runs`] = await runFault(fault, false);
  }
  matchSnapshot(import.meta.filename, 'results per fault', resultsByFault);
});

test('a link without running calls carries no heartbeats, and a silent one is still found', async () => {
  // Guards against messages without work, whose number grows with the peers of each node.
  const receiverNode = await new TransportFixture('b', async (open) => {
    if (open.requestId === 'long') await setTimeout(350);
    return makeAnswer('done');
  }).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  const { signal } = new AbortController();
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  const send = async (requestId: string): Promise<number> => {
    const open = makeCallOpen(senderNode.transport.attemptSequence.next(), { requestId });
    const before = senderNode.transport.counters.framesSent;
    await senderNode.transport.send(member, open, undefined, signal);
    return senderNode.transport.counters.framesSent - before;
  };
  await send('first');
  const shortFrames = await send('short');
  const before = senderNode.transport.counters.framesSent;
  await setTimeout(600);
  assert.equal(senderNode.transport.counters.framesSent, before);
  assert.ok((await send('long')) > shortFrames, 'a call that takes long is watched');
  await senderNode.stop();
  await receiverNode.stop();
});

test('resending a non-idempotent call runs it twice', async () => {
  // Checks that the test above detects a duplicate run.
  const resendPolicy = { mayResend: () => true };
  const { settleRunCount } = await runFault(
    faults['silent towards the sender']!,
    false,
    resendPolicy,
  );
  assert.equal(settleRunCount, 2);
});

test('a call to a port without a listener is not run, and further dials back off', async () => {
  // Guards against an unknown outcome although nothing was sent, and against a dial for each call.
  const node = await new TransportFixture('a').start();
  const { signal } = new AbortController();
  const results: string[] = [];
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    const open = makeCallOpen(sequence);
    const result = await node.transport.send(
      TransportFixture.makeMember('b', 9),
      open,
      undefined,
      signal,
    );
    results.push(await describeResult(result));
    if (result.kind === 'refusal') results.push(result.refusal.detail);
  }
  await node.stop();
  matchSnapshot(import.meta.filename, 'results of three calls', results);
});

test('a member that answers as another incarnation gets no call', async () => {
  // Guards against a call to a former incarnation that the restarted process receives.
  const receiverNode = await new TransportFixture('b').start();
  const senderNode = await new TransportFixture('a').start();
  const member = {
    ...TransportFixture.makeMember('b', receiverNode.transport.linkPort),
    incarnation: 999,
  };
  const { signal } = new AbortController();
  const result = await senderNode.transport.send(member, makeCallOpen(1), undefined, signal);
  const resultText = await describeResult(result);
  await senderNode.stop();
  await receiverNode.stop();
  assert.deepEqual(
    [resultText, receiverNode.executedRequestIds],
    ['not-run wrong-incarnation', []],
  );
});

test('a silent link is replaced although each call on it ends before the stall timeout', async (context) => {
  // Guards against calls with short deadlines that all end on a silent link: between two of them it
  // has no running call, and it was taken for an idle one.
  const receiverNode = await new TransportFixture('b', async () => makeAnswer('done')).start();
  const proxy = await new SilenceableProxy(receiverNode.transport.linkPort).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  context.after(async () => {
    await senderNode.stop();
    proxy.stop();
    await receiverNode.stop();
  });
  const member = TransportFixture.makeMember('b', proxy.port);
  const isAnsweredWithin = async (waitMs: number): Promise<boolean> => {
    const controller = new AbortController();
    const timer = global.setTimeout(() => controller.abort(), waitMs);
    const open = makeCallOpen(senderNode.transport.attemptSequence.next());
    const result = await senderNode.transport.send(member, open, undefined, controller.signal);
    clearTimeout(timer);
    return result.kind === 'answer';
  };
  assert.equal(await isAnsweredWithin(5000), true);
  faults['silent towards the sender']!(proxy);
  let isAnswered = false;
  for (let call = 0; call < 20 && !isAnswered; call++) {
    isAnswered = await isAnsweredWithin(limits.stallTimeoutMs / 4);
    await setTimeout(limits.stallTimeoutMs / 2);
  }
  assert.equal(isAnswered, true, 'no call was answered on a second connection');
});
