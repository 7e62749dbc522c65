import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { RefusalOutcome, RefusalReason } from '@sequoiafield/types';
import type { FailureClassifier, RetryPolicy } from './index.js';
import { createNotRunRefusal } from './refusals.js';
import { FaultyBackend } from './test-support/faulty-backend.js';
import {
  listen,
  CallNodeFixture,
  type CallNodeFixtureOptions,
} from './test-support/call-node-fixture.js';

interface Cell {
  readonly path?: string;
  readonly deadlineMs?: string;
  readonly body?: string;
  readonly far?: CallNodeFixtureOptions;
  /** Prepares the fault once both nodes run. */
  readonly prepare?: (near: CallNodeFixture, far: CallNodeFixture) => void;
}

/** One fault at each step of a call: at the first node, on the link, at the receiver, behind it. */
const cells: Record<string, Cell> = {
  'first node: no route': { path: '/none' },
  'first node: not serving': { prepare: (near) => near.setServing(false) },
  'first node: no time left': { deadlineMs: '0' },
  'first node: no member': { prepare: (near) => near.setMembers([]) },
  'link: nothing listens': {
    prepare: (near, far) => near.setMembers([{ ...far.row, linkPort: 9 }]),
  },
  'link: other incarnation': {
    prepare: (near, far) => near.setMembers([{ ...far.row, incarnation: 2 }]),
  },
  'receiver: draining': { prepare: (_, far) => far.receiver.startDraining() },
  'receiver: queue full': {
    far: { admit: () => createNotRunRefusal(RefusalReason.QueueFull, 'full') },
  },
  'receiver: version taken back': { far: { isAllowed: () => false } },
  'receiver: other service': { far: { service: 'rounds' } },
  'backend server: nothing listens': { far: { origin: 'http://127.0.0.1:9' } },
  'backend server: refuses': { path: '/refuse' },
  'backend server: 503 without a word': { path: '/busy' },
  'backend server: passes a refusal on': { path: '/pass-on' },
  'backend server: 500': { path: '/fail' },
  'backend server: drops the request': { path: '/drop' },
  'backend server: cuts the body': { path: '/cut' },
  'backend server: cuts a chunked body': { path: '/cut-chunked' },
  'backend server: body without a length': { path: '/no-length' },
  'backend server: hangs': { path: '/hang', deadlineMs: '1000' },
  'no fault': {},
};

interface Mutation {
  readonly classifier?: FailureClassifier;
  readonly retryPolicy?: RetryPolicy;
}

interface Seen {
  readonly result: string;
  readonly outcome: string | null;
  readonly runs: number;
}

const callOnce = async (
  t: TestContext,
  cell: Cell,
  method: string,
  mutation: Mutation = {},
): Promise<Seen> => {
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const backend = mutation.classifier ? { classifier: mutation.classifier } : {};
  const far = await new CallNodeFixture('b', { origin, backend, ...cell.far }).start();
  const near = await new CallNodeFixture('a', { retryPolicy: mutation.retryPolicy }).start();
  near.setMembers([far.row]);
  cell.prepare?.(near, far);
  const headers = {
    'x-sequoiafield-request-id': 'r-1',
    ...(cell.deadlineMs ? { 'x-sequoiafield-deadline-ms': cell.deadlineMs } : {}),
  };
  t.after(async () => {
    await Promise.all([near.stop(), far.stop()]);
    server.closeAllConnections();
    server.close();
  });
  const response = await fetch(`${near.url}${cell.path ?? '/ok'}`, { method, headers });
  const text = await response.text().catch(() => 'body broken');
  const outcome = response.headers.get('x-sequoiafield-outcome');
  const reason = response.headers.get('x-sequoiafield-reason');
  const said = outcome ? `${outcome} ${reason}` : text;
  const runs = backendServer.runsOf('r-1');
  if (outcome) assert.equal((JSON.parse(text) as { outcome: string }).outcome, outcome);
  return { result: `${response.status} ${said}, ran ${runs}`, outcome, runs };
};

test('a refusal says "not run" only of requests that did not run', async (t) => {
  // Guards against false refusals, doubled runs and cut answers for one fault at each step.
  const table: Record<string, Record<string, string>> = {};
  for (const [name, cell] of Object.entries(cells)) {
    const lookup = await callOnce(t, cell, 'GET');
    const settle = await callOnce(t, cell, 'POST');
    table[name] = { lookup: lookup.result, settle: settle.result };
    for (const seen of [lookup, settle]) {
      const isFalse = seen.outcome === RefusalOutcome.NotRun && seen.runs > 0;
      assert.ok(!isFalse, `${name}: "not run" but ran ${seen.runs} times`);
    }
    assert.ok(settle.runs <= 1, `${name}: a settlement ran ${settle.runs} times`);
  }
  matchSnapshot(import.meta.filename, 'result per fault and step', table);
});

test('taking every failure for "not run" is seen as a false refusal and a doubled run', async (t) => {
  // Shows that the table above notices a classifier without the check for written requests.
  const classifier = {
    classify: (_wasWritten: boolean, reason: RefusalReason, detail: string) =>
      createNotRunRefusal(reason, detail),
  };
  const seen = await callOnce(t, { path: '/drop' }, 'POST', { classifier });
  assert.ok(seen.runs > 1 && seen.outcome === RefusalOutcome.NotRun, seen.result);
});

test('retrying in doubt is seen as a doubled run', async (t) => {
  // Shows that the table above notices a retry policy that ignores the outcome.
  const retryPolicy = {
    mayRetryAfterAnswer: () => false,
    mayRetry: ({ attemptsSoFar }: { attemptsSoFar: number }) => attemptsSoFar < 3,
  };
  const seen = await callOnce(t, { path: '/drop' }, 'POST', { retryPolicy });
  assert.equal(seen.runs, 3);
});

test('a call refused over the share goes to the old version of the move', async (t) => {
  // Guards against a fallback to the configuration's stable version where the move starts from
  // another one: the call would find no backend server. Here v1 is refused and v0 is the old one.
  const refusal = createNotRunRefusal(RefusalReason.VersionOverShare, 'over the share');
  const far = await new CallNodeFixture('b', { admit: () => refusal }).start();
  const near = await new CallNodeFixture('a', {
    chooseVersion: (roll) => (roll < 1 ? 'v1' : 'v0'),
  }).start();
  t.after(() => Promise.all([near.stop(), far.stop()]));
  near.setMembers([far.row]);
  await fetch(`${near.url}/lookup`);
  assert.deepEqual(near.versions.slice(0, 2), ['v1', 'v0']);
});
