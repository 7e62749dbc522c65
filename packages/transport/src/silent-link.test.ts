import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import type { ResendPolicy } from './resend-policy.js';
import { makeCallOpen } from './test-support/raw-peer.js';
import { makeAnswer, describeResult, TransportFixture } from './test-support/transport-fixture.js';
import { SilenceableProxy } from './test-support/silenceable-proxy.js';

/** A third of the stall limit in use, so that the test is quick. */
const limits = { heartbeatMs: 100, stallTimeoutMs: 500, dialTimeoutMs: 1000 };

type Fault = (tap: SilenceableProxy) => void;

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
  movePolicy?: ResendPolicy,
): Promise<Record<string, unknown>> => {
  const far = await new TransportFixture('b', async (open) => {
    await setTimeout(80);
    return makeAnswer(`for ${open.requestId}`);
  }).start();
  const tap = await new SilenceableProxy(far.transport.linkPort).start();
  const mechanisms = movePolicy ? { resendPolicy: movePolicy } : {};
  const near = await new TransportFixture('a', undefined, { limits, mechanisms }).start();
  const { signal } = new AbortController();
  const member = TransportFixture.makeMember('b', tap.port);
  const send = async (isIdempotent: boolean, requestId: string): Promise<string> => {
    const open = makeCallOpen(near.transport.attemptSequence.next(), { isIdempotent, requestId });
    return describeResult(await near.transport.send(member, open, undefined, signal));
  };
  await send(true, 'warm-up');
  if (isBefore) fault(tap);
  const results = [send(true, 'lookup'), send(false, 'settle')];
  if (!isBefore) {
    await waitUntil(() => far.executedRequestIds.includes('settle'));
    fault(tap);
  }
  const [lookup, settle] = await Promise.all(results);
  // A doubled run would be on its way by the end of the calls.
  await setTimeout(100);
  const settled = far.executedRequestIds.filter((id) => id === 'settle').length;
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
  const movePolicy = { mayResend: () => true };
  const { settled } = await runFault(faults['silent towards the sender']!, false, movePolicy);
  assert.equal(settled, 2);
});

test('a call to a port where nothing listens did not run, and dials back off', async () => {
  // Guards against an unknown outcome where nothing was sent, and against a dial per call.
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
  // Guards against a call that reaches the process after a restart under an id of the one before.
  const far = await new TransportFixture('b').start();
  const near = await new TransportFixture('a').start();
  const member = { ...TransportFixture.makeMember('b', far.transport.linkPort), incarnation: 999 };
  const { signal } = new AbortController();
  const result = await near.transport.send(member, makeCallOpen(1), undefined, signal);
  const seen = await describeResult(result);
  await near.stop();
  await far.stop();
  assert.deepEqual([seen, far.executedRequestIds], ['not-run wrong-incarnation', []]);
});
