import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import { monotonicNowMs } from '@sequoiafield/tables';
import { decodeRefusal } from './call-codec.js';
import { AttemptCheckResult, type AttemptGuard, type TransportMechanisms } from './index.js';
import { encodeFrame, FrameKind } from './frames.js';
import { RawPeer, makeCallOpen, encodeOpenFrame } from './test-support/raw-peer.js';
import { makeAnswer, TransportFixture } from './test-support/transport-fixture.js';

type Send = (first: RawPeer, second: RawPeer) => Promise<void> | void;

const otherReceiverAttempt = { ...makeCallOpen(1).attempt, receiverIncarnation: 999 };
const formerSenderAttempt = { ...makeCallOpen(1).attempt, senderIncarnation: 999 };

/** Faults of open frames by name; after each the call may have run at most once. */
const openFaults: Record<string, Send> = {
  'sent once': (peer) => peer.send(encodeOpenFrame(makeCallOpen(1))),
  'duplicated in one message': (peer) => {
    const open = encodeOpenFrame(makeCallOpen(1));
    peer.send(open, open);
  },
  'replayed after its answer': async (peer) => {
    const open = encodeOpenFrame(makeCallOpen(1));
    peer.send(open);
    await peer.waitFor(FrameKind.End);
    peer.send(open);
  },
  'replayed on a second connection': async (peer, second) => {
    const open = encodeOpenFrame(makeCallOpen(1));
    peer.send(open);
    await peer.waitFor(FrameKind.End);
    second.send(open);
  },
  'replayed after its deadline': async (peer, second) => {
    const open = encodeOpenFrame(makeCallOpen(1, { deadlineAtMs: monotonicNowMs() + 600 }));
    peer.send(open);
    await setTimeout(700);
    second.send(open);
  },
  'received after its deadline': async (peer) => {
    const open = encodeOpenFrame(makeCallOpen(1, { deadlineAtMs: monotonicNowMs() + 20 }));
    await setTimeout(60);
    peer.send(open);
  },
  'for another incarnation of the receiver': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { attempt: otherReceiverAttempt }))),
  'from an older incarnation of the sender': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { attempt: formerSenderAttempt }))),
  'with a deadline too far in the future': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { deadlineAtMs: monotonicNowMs() + 3_600_000 }))),
};

class PermissiveAttemptGuard implements AttemptGuard {
  check(): AttemptCheckResult {
    return AttemptCheckResult.Fresh;
  }

  sweep(): void {
    // This guard keeps no ids.
  }
}

const runFault = async (
  send: Send,
  mechanisms: Partial<TransportMechanisms>,
): Promise<{ runs: number; refusals: string[] }> => {
  const node = await new TransportFixture('b', undefined, { mechanisms }).start();
  const first = await RawPeer.dial(node.transport.linkPort, 'a');
  const second = await RawPeer.dial(node.transport.linkPort, 'a');
  await send(first, second);
  // The frames of a connection are handled in order, so these calls end after the earlier ones.
  const markers = [first, second].map((peer, index) => {
    peer.send(encodeOpenFrame(makeCallOpen(90 + index)));
    return waitUntil(() =>
      peer.frames.some(({ kind, id }) => kind === FrameKind.End && id === 90 + index),
    );
  });
  await Promise.all(markers);
  const refusals = [...first.frames, ...second.frames]
    .filter((frame) => frame.kind === FrameKind.Refuse)
    .map(({ payload }) => decodeRefusal(payload))
    .map(({ outcome, reason }) => `${outcome} ${reason}`);
  first.socket.terminate();
  second.socket.terminate();
  await node.stop();
  return { runs: node.executedRequestIds.filter((id) => id === 'r-1').length, refusals };
};

test('a duplicate, late or misdirected open frame starts no call', async () => {
  // Guards against a second run of a non-idempotent request, and against a refusal "not run" of a
  // call that did run.
  const resultsByFault: Record<string, unknown> = {};
  const violations: string[] = [];
  for (const [fault, send] of Object.entries(openFaults)) {
    resultsByFault[fault] = await runFault(send, {});
    const unguarded = await runFault(send, { attemptGuard: new PermissiveAttemptGuard() });
    const guarded = resultsByFault[fault] as { runs: number };
    if (unguarded.runs > guarded.runs) violations.push(fault);
  }
  matchSnapshot(import.meta.filename, 'runs per fault', resultsByFault);
  matchSnapshot(import.meta.filename, 'faults that run too often without the guard', violations);
});

test('without the link clock a late open frame starts a call', async () => {
  // Guards against a deadline that is computed from the arrival time of its frame.
  const uncheckedClock = { sample: () => undefined, check: () => undefined };
  const createClock = () => ({ ...uncheckedClock, toLocalMs: () => monotonicNowMs() + 1000 });
  const { runs } = await runFault(openFaults['received after its deadline']!, { createClock });
  assert.equal(runs, 1, 'the late call runs without the link clock');
});

const cancelFrame = (sequence: number): Uint8Array[] => encodeFrame(FrameKind.Cancel, sequence);

/** Sends an open frame that was written some time ago and its cancel; returns what the node did. */
const sendLateOpenAndCancel = async (
  sentBeforeMs: number,
): Promise<{ runs: number; refusals: string[]; pings: number }> => {
  const node = await new TransportFixture('b').start();
  const peer = await RawPeer.dial(node.transport.linkPort, 'a');
  peer.send(encodeOpenFrame(makeCallOpen(1), sentBeforeMs));
  peer.send(cancelFrame(1));
  peer.send(encodeOpenFrame(makeCallOpen(9)));
  await waitUntil(() => peer.frames.some(({ kind, id }) => kind === FrameKind.End && id === 9));
  await setTimeout(20);
  const refusals = peer.frames
    .filter(({ kind }) => kind === FrameKind.Refuse)
    .map(({ payload }) => decodeRefusal(payload))
    .map(({ outcome, reason }) => `${outcome} ${reason}`);
  const pings = peer.frames.filter(({ kind }) => kind === FrameKind.Heartbeat).length;
  peer.socket.terminate();
  await node.stop();
  return { runs: node.executedRequestIds.filter((id) => id === 'r-1').length, refusals, pings };
};

test('a call that waited unread does not start if its cancel waits behind it', async () => {
  // Guards against work on a node without processor time for callers that left long ago.
  assert.equal((await sendLateOpenAndCancel(400)).runs, 0);
});

test('an open frame whose clock seems to stand still is refused, and the clocks are compared', async () => {
  // Guards against deadlines converted with the clock of a machine that was suspended meanwhile.
  const { runs, refusals, pings } = await sendLateOpenAndCancel(3000);
  assert.deepEqual([runs, refusals, pings > 0], [0, ['not-run not-ready'], true]);
});

test('a cancel or a lost connection aborts the running call', async () => {
  // Guards against work for callers that have cancelled or disconnected.
  const abortMessages: string[] = [];
  const node = await new TransportFixture('b', async (_open, _body, signal) => {
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    abortMessages.push((signal.reason as Error).message);
    return makeAnswer('late');
  }).start();
  const peer = await RawPeer.dial(node.transport.linkPort, 'a');
  peer.send(encodeOpenFrame(makeCallOpen(1)), encodeOpenFrame(makeCallOpen(2)));
  peer.send([Buffer.concat(encodeOpenFrame(makeCallOpen(3)))]);
  await waitUntil(() => node.executedRequestIds.length === 3);
  peer.send(cancelFrame(1));
  await waitUntil(() => abortMessages.length === 1);
  peer.socket.terminate();
  await waitUntil(() => abortMessages.length === 3);
  await node.stop();
  matchSnapshot(import.meta.filename, 'why running calls ended', abortMessages);
});
