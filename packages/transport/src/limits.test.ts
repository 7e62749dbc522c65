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

/** Bytes that a producer handed over while its consumer read nothing, and whether all came after. */
const holdAnswer = async (windowBytes: number) => {
  const limits = { windowBytes };
  let takenBytes = 0;
  const produce = async function* produce() {
    for (; takenBytes < bodyBytes; takenBytes += chunk.byteLength) yield chunk;
  };
  const far = await new TransportFixture('b', async () => makeAnswer(produce()), {
    limits,
  }).start();
  const near = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', far.transport.linkPort);
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeCallOpen(1), undefined, signal);
  await setTimeout(150);
  const heldBytes = takenBytes;
  const rest = result.kind === 'answer' ? await readBody(result.answer.body) : '';
  return { heldBytes, isWhole: rest.length === bodyBytes };
};

test('without the window a producer runs ahead of its consumer', async () => {
  // Guards against a test of the window that would pass although nothing holds the producer.
  const windowBytes = 64 * 1024;
  const held = await holdAnswer(windowBytes);
  assert.ok(held.heldBytes <= windowBytes + chunk.byteLength, `${held.heldBytes} bytes were taken`);
  assert.ok(held.isWhole);
  const unheld = await holdAnswer(2 ** 31);
  assert.equal(unheld.heldBytes, bodyBytes, 'the violation shows without the window');
});

/** What the caller sees of an answer of `bodyBytes`. */
const sendLarge = async (bodyMaxBytes: number): Promise<string> => {
  const limits = { bodyMaxBytes };
  const body = 'x'.repeat(bodyBytes);
  const far = await new TransportFixture('b', async () => makeAnswer(body), { limits }).start();
  const near = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', far.transport.linkPort);
  const { signal } = new AbortController();
  return describeResult(await near.transport.send(member, makeCallOpen(1), undefined, signal));
};

test('without the size bound an answer of any size is taken', async () => {
  // Guards against one answer that fills the memory of a node.
  assert.match(await sendLarge(bodyBytes - 1), /^answer broken: The body is larger than/);
  const taken = await sendLarge(Infinity);
  assert.equal(taken.length, 'answer '.length + bodyBytes, 'the violation shows without the bound');
});

/** Result of a call on a link that goes silent, ended by its caller after `waitMs`. */
const sendIntoSilence = async (
  limits: Partial<TransportLimits>,
  waitMs: number,
): Promise<string> => {
  const far = await new TransportFixture('b').start();
  const tap = await new SilenceableProxy(far.transport.linkPort).start();
  const near = await new TransportFixture('a', undefined, { limits }).start();
  const member = TransportFixture.makeMember('b', tap.port);
  const send = (sequence: number, signal: AbortSignal) => {
    const open = makeCallOpen(sequence, { isIdempotent: true });
    return near.transport.send(member, open, undefined, signal);
  };
  await send(near.transport.attemptSequence.next(), new AbortController().signal);
  tap.silenceToTarget();
  tap.silenceToDialer();
  const controller = new AbortController();
  const ended = send(near.transport.attemptSequence.next(), controller.signal).then(describeResult);
  const seen = await Promise.race([ended, setTimeout(waitMs, undefined)]);
  controller.abort();
  const last = seen ?? (await ended);
  tap.stop();
  return last;
};

test('without the stall limit a call on a silent link waits for its caller to give up', async () => {
  // Guards against calls that hang on a connection that went silent for good.
  const limits = { heartbeatMs: 100, stallTimeoutMs: 500 };
  assert.match(await sendIntoSilence(limits, 10_000), /^answer for r-/);
  const stalled = await sendIntoSilence({ ...limits, stallTimeoutMs: Infinity }, 2000);
  assert.equal(stalled, 'unknown cancelled', 'the violation shows without the limit');
});
