import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import type { MovePolicy } from './move-policy.js';
import { makeOpen } from './test-support/raw-peer.js';
import { answerWith, describeResult, TestNode } from './test-support/nodes.js';
import { Tap } from './test-support/tap.js';

/** A third of the stall limit in use, so that the test is quick. */
const limits = { heartbeatMs: 100, stallMs: 500, dialTimeoutMs: 1000 };

type Fault = (tap: Tap) => void;

const faults: Record<string, Fault> = {
  'silent both ways': (tap) => {
    tap.silenceToTarget();
    tap.silenceToDialer();
  },
  'silent towards the receiver': (tap) => tap.silenceToTarget(),
  'silent towards the sender': (tap) => tap.silenceToDialer(),
  cut: (tap) => tap.cut(),
  'gone for good': (tap) => tap.stop(),
};

/** Sends one call of each kind into a link that fails before or after the open frame arrives. */
const runFault = async (
  fault: Fault,
  isBefore: boolean,
  movePolicy?: MovePolicy,
): Promise<Record<string, unknown>> => {
  const far = await new TestNode('b', async (open) => {
    await setTimeout(80);
    return answerWith(`for ${open.requestId}`);
  }).start();
  const tap = await new Tap(far.transport.linkPort).start();
  const mechanisms = movePolicy ? { movePolicy } : {};
  const near = await new TestNode('a', undefined, { limits, mechanisms }).start();
  const { signal } = new AbortController();
  const member = TestNode.member('b', tap.port);
  const send = async (isIdempotent: boolean, requestId: string): Promise<string> => {
    const open = makeOpen(near.transport.sequence.next(), { isIdempotent, requestId });
    return describeResult(await near.transport.send(member, open, undefined, signal));
  };
  await send(true, 'warm-up');
  if (isBefore) fault(tap);
  const results = [send(true, 'lookup'), send(false, 'settle')];
  if (!isBefore) {
    await waitUntil(() => far.ran.includes('settle'));
    fault(tap);
  }
  const [lookup, settle] = await Promise.all(results);
  // A doubled run would be on its way by the end of the calls.
  await setTimeout(100);
  const settled = far.ran.filter((id) => id === 'settle').length;
  await near.stop();
  tap.stop();
  await far.stop();
  return { lookup, settle, settled };
};

test('calls on a link that goes silent or breaks end truthfully', async () => {
  // Guards against calls that hang on a silent link, doubled runs and a false "not run".
  const table: Record<string, unknown> = {};
  for (const [name, fault] of Object.entries(faults)) {
    table[`${name}, before the open frame`] = await runFault(fault, true);
    table[`${name}, while the call runs`] = await runFault(fault, false);
  }
  matchSnapshot(import.meta.filename, 'results per fault', table);
});

test('moving a non-idempotent call would run it twice', async () => {
  // Shows that the table above notices a doubled run.
  const movePolicy = { mayMove: () => true };
  const { settled } = await runFault(faults['silent towards the sender']!, false, movePolicy);
  assert.equal(settled, 2);
});

test('a call to a port where nothing listens did not run, and dials back off', async () => {
  // Guards against an unknown outcome where nothing was sent, and against a dial per call.
  const node = await new TestNode('a').start();
  const { signal } = new AbortController();
  const results: string[] = [];
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    const open = makeOpen(sequence);
    const result = await node.transport.send(TestNode.member('b', 9), open, undefined, signal);
    results.push(await describeResult(result));
    if (result.kind === 'refusal') results.push(result.refusal.detail);
  }
  await node.stop();
  matchSnapshot(import.meta.filename, 'results of three calls', results);
});

test('a member that answers as another incarnation gets no call', async () => {
  // Guards against a call that reaches the process after a restart under an id of the one before.
  const far = await new TestNode('b').start();
  const near = await new TestNode('a').start();
  const member = { ...TestNode.member('b', far.transport.linkPort), incarnation: 999 };
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeOpen(1), undefined, signal);
  const seen = await describeResult(result);
  await near.stop();
  await far.stop();
  assert.deepEqual([seen, far.ran], ['not-run wrong-incarnation', []]);
});
