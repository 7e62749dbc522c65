import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { test } from 'node:test';
import { matchSnapshot, waitUntil } from '@sequoiafield/test-kit';
import { monotonicNowMs } from '@sequoiafield/tables';
import { decodeRefusal } from './call-codec.js';
import { AttemptCheckResult, type AttemptGuard, type TransportMechanisms } from './index.js';
import { FrameKind } from './frames.js';
import { RawPeer, makeCallOpen, encodeOpenFrame } from './test-support/raw-peer.js';
import { makeAnswer, TransportFixture } from './test-support/transport-fixture.js';

type Send = (first: RawPeer, second: RawPeer) => Promise<void> | void;

const freshIncarnation = { ...makeCallOpen(1).attempt, receiverIncarnation: 999 };
const staleSender = { ...makeCallOpen(1).attempt, senderIncarnation: 999 };

/** Faults of open frames; each sends what it names, and at most one run is allowed. */
const openFaults: Record<string, Send> = {
  'sent once': (peer) => peer.send(encodeOpenFrame(makeCallOpen(1))),
  'doubled in one message': (peer) => {
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
  'thawed after its deadline': async (peer) => {
    const open = encodeOpenFrame(makeCallOpen(1, { deadlineAtMs: monotonicNowMs() + 20 }));
    await setTimeout(60);
    peer.send(open);
  },
  'for another incarnation of the receiver': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { attempt: freshIncarnation }))),
  'from an older incarnation of the sender': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { attempt: staleSender }))),
  'with a deadline too far to remember': (peer) =>
    peer.send(encodeOpenFrame(makeCallOpen(1, { deadlineAtMs: monotonicNowMs() + 3_600_000 }))),
};

class NoGuard implements AttemptGuard {
  check(): AttemptCheckResult {
    return AttemptCheckResult.Fresh;
  }

  sweep(): void {
    // Nothing is kept.
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
  // Frames of a connection are handled in order, so that these calls end after the ones before.
  const markers = [first, second].map((peer, at) => {
    peer.send(encodeOpenFrame(makeCallOpen(90 + at)));
    return waitUntil(() =>
      peer.frames.some(({ kind, id }) => kind === FrameKind.End && id === 90 + at),
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

test('an open frame that is doubled, late or misdirected runs nothing', async () => {
  // Guards against a second run of a non-idempotent request, and against a false "not run".
  const table: Record<string, unknown> = {};
  const violations: string[] = [];
  for (const [fault, send] of Object.entries(openFaults)) {
    table[fault] = await runFault(send, {});
    const unguarded = await runFault(send, { attemptGuard: new NoGuard() });
    const wanted = table[fault] as { runs: number };
    if (unguarded.runs > wanted.runs) violations.push(fault);
  }
  matchSnapshot(import.meta.filename, 'runs per fault', table);
  matchSnapshot(import.meta.filename, 'faults that run too often without the guard', violations);
});

test('a deadline without a link clock would let a late frame run', async () => {
  // Guards against deadlines that are counted from the arrival of a frame.
  const naive = { sample: () => undefined, check: () => undefined };
  const createClock = () => ({ ...naive, toLocalMs: () => monotonicNowMs() + 1000 });
  const { runs } = await runFault(openFaults['thawed after its deadline']!, { createClock });
  assert.equal(runs, 1, 'the violation shows with the mechanism switched off');
});

test('a cancel and a lost connection reach the running call', async () => {
  // Guards against work for callers that are gone.
  const causes: string[] = [];
  const node = await new TransportFixture('b', async (_open, _body, signal) => {
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    causes.push((signal.reason as Error).message);
    return makeAnswer('late');
  }).start();
  const peer = await RawPeer.dial(node.transport.linkPort, 'a');
  peer.send(encodeOpenFrame(makeCallOpen(1)), encodeOpenFrame(makeCallOpen(2)));
  peer.send([Buffer.concat(encodeOpenFrame(makeCallOpen(3)))]);
  await waitUntil(() => node.executedRequestIds.length === 3);
  const cancel = Buffer.alloc(13);
  cancel[4] = FrameKind.Cancel;
  cancel.writeDoubleBE(1, 5);
  peer.send([cancel]);
  await waitUntil(() => causes.length === 1);
  peer.socket.terminate();
  await waitUntil(() => causes.length === 3);
  await node.stop();
  matchSnapshot(import.meta.filename, 'why running calls ended', causes);
});
