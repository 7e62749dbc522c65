import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import type { TransportLimits } from './index.js';
import { makeCallOpen } from './test-support/raw-peer.js';
import {
  makeAnswer,
  describeResult,
  readBody,
  TransportFixture,
} from './test-support/transport-fixture.js';
import { SilenceableProxy } from './test-support/silenceable-proxy.js';

const chunk = Buffer.alloc(16 * 1024, 1);
const bodyBytes = 1024 * 1024;

/** Returns the bytes taken from a producer before the first read, and whether all arrived. */
const takeBeforeRead = async (windowBytes: number) => {
  const limits = { windowBytes };
  let takenBytes = 0;
  const produce = async function* produce() {
    for (; takenBytes < bodyBytes; takenBytes += chunk.byteLength) yield chunk;
  };
  const receiverNode = await new TransportFixture('b', async () => makeAnswer(produce()), {
    limits,
  }).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  const { signal } = new AbortController();
  const result = await senderNode.transport.send(member, makeCallOpen(1), undefined, signal);
  await setTimeout(150);
  const takenBeforeReadBytes = takenBytes;
  const rest = result.kind === 'answer' ? await readBody(result.answer.body) : '';
  return { takenBeforeReadBytes, isWhole: rest.length === bodyBytes };
};

test('without the window a producer runs ahead of its consumer', async () => {
  // Guards against a test of the window that passes although the window has no effect.
  const windowBytes = 64 * 1024;
  const limited = await takeBeforeRead(windowBytes);
  assert.ok(
    limited.takenBeforeReadBytes <= windowBytes + chunk.byteLength,
    `${limited.takenBeforeReadBytes} bytes were taken`,
  );
  assert.ok(limited.isWhole);
  const unlimited = await takeBeforeRead(2 ** 31);
  assert.equal(
    unlimited.takenBeforeReadBytes,
    bodyBytes,
    'without the window the whole body is taken',
  );
});

/** Sends a call whose answer has `bodyBytes` and returns its described result. */
const sendLargeAnswer = async (bodyMaxBytes: number): Promise<string> => {
  const limits = { bodyMaxBytes };
  const body = 'x'.repeat(bodyBytes);
  const receiverNode = await new TransportFixture('b', async () => makeAnswer(body), {
    limits,
  }).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', receiverNode.transport.linkPort);
  const { signal } = new AbortController();
  return describeResult(
    await senderNode.transport.send(member, makeCallOpen(1), undefined, signal),
  );
};

test('without the maximum body size an answer of any size is accepted', async () => {
  // Guards against a single answer that exhausts the memory of a node.
  assert.match(await sendLargeAnswer(bodyBytes - 1), /^answer broken: The body is larger than/);
  const taken = await sendLargeAnswer(Infinity);
  assert.equal(
    taken.length,
    'answer '.length + bodyBytes,
    'without the maximum the whole answer is accepted',
  );
});

/** Returns the result of a call on a silent link; its caller cancels it after `waitMs`. */
const sendIntoSilence = async (
  limits: Partial<TransportLimits>,
  waitMs: number,
): Promise<string> => {
  const receiverNode = await new TransportFixture('b').start();
  const proxy = await new SilenceableProxy(receiverNode.transport.linkPort).start();
  const senderNode = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', proxy.port);
  const send = (sequence: number, signal: AbortSignal) => {
    const open = makeCallOpen(sequence, { isIdempotent: true });
    return senderNode.transport.send(member, open, undefined, signal);
  };
  await send(senderNode.transport.attemptSequence.next(), new AbortController().signal);
  proxy.silenceToTarget();
  proxy.silenceToDialer();
  const controller = new AbortController();
  const resultText = send(senderNode.transport.attemptSequence.next(), controller.signal).then(
    describeResult,
  );
  const textInTime = await Promise.race([resultText, setTimeout(waitMs, undefined)]);
  controller.abort();
  const finalText = textInTime ?? (await resultText);
  proxy.stop();
  return finalText;
};

test('without the stall timeout a call on a silent link runs until it is cancelled', async () => {
  // Guards against calls that hang on a connection that stays silent.
  const limits = { heartbeatMs: 100, stallTimeoutMs: 500 };
  assert.match(await sendIntoSilence(limits, 10_000), /^answer for r-/);
  const stalled = await sendIntoSilence({ ...limits, stallTimeoutMs: Infinity }, 2000);
  assert.equal(
    stalled,
    'unknown cancelled',
    'without the stall timeout only the caller ends the call',
  );
});
