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

interface FaultCase {
  readonly path?: string;
  readonly deadlineMs?: string;
  readonly body?: string;
  readonly serverNode?: CallNodeFixtureOptions;
  /** Prepares the fault once both nodes run. */
  readonly prepare?: (entryNode: CallNodeFixture, serverNode: CallNodeFixture) => void;
}

/** Faults at each step of a call: first node, link, receiving node and backend server. */
const faultCases: Record<string, FaultCase> = {
  'first node: no route': { path: '/none' },
  'first node: not serving': { prepare: (entryNode) => entryNode.setServing(false) },
  'first node: no time left': { deadlineMs: '0' },
  'first node: no member': { prepare: (entryNode) => entryNode.setMembers([]) },
  'link: nothing listens': {
    prepare: (entryNode, serverNode) => entryNode.setMembers([{ ...serverNode.row, linkPort: 9 }]),
  },
  'link: other incarnation': {
    prepare: (entryNode, serverNode) =>
      entryNode.setMembers([{ ...serverNode.row, incarnation: 2 }]),
  },
  'receiver: draining': { prepare: (_, serverNode) => serverNode.receiver.startDraining() },
  'receiver: queue full': {
    serverNode: { admit: () => createNotRunRefusal(RefusalReason.QueueFull, 'full') },
  },
  'receiver: version rolled back': { serverNode: { isAllowed: () => false } },
  'receiver: other service': { serverNode: { service: 'rounds' } },
  'backend server: nothing listens': { serverNode: { origin: 'http://127.0.0.1:9' } },
  'backend server: refuses': { path: '/refuse' },
  'backend server: 503 without the not-run header': { path: '/busy' },
  'backend server: forwards a refusal': { path: '/pass-on' },
  'backend server: 500': { path: '/fail' },
  'backend server: drops the request': { path: '/drop' },
  'backend server: cuts the body': { path: '/cut' },
  'backend server: cuts a chunked body': { path: '/cut-chunked' },
  'backend server: body without a length': { path: '/no-length' },
  'backend server: hangs': { path: '/hang', deadlineMs: '1000' },
  'no fault': {},
};

interface PolicyOverrides {
  readonly classifier?: FailureClassifier;
  readonly retryPolicy?: RetryPolicy;
}

interface CallObservation {
  readonly result: string;
  readonly outcome: string | null;
  readonly runs: number;
}

const callOnce = async (
  t: TestContext,
  faultCase: FaultCase,
  method: string,
  overrides: PolicyOverrides = {},
): Promise<CallObservation> => {
  const backendServer = new FaultyBackend();
  const [server, origin] = await listen(backendServer.listener);
  const backend = overrides.classifier ? { classifier: overrides.classifier } : {};
  const serverNode = await new CallNodeFixture('b', {
    origin,
    backend,
    ...faultCase.serverNode,
  }).start();
  const entryNode = await new CallNodeFixture('a', { retryPolicy: overrides.retryPolicy }).start();
  entryNode.setMembers([serverNode.row]);
  faultCase.prepare?.(entryNode, serverNode);
  const headers = {
    'x-sequoiafield-request-id': 'r-1',
    ...(faultCase.deadlineMs ? { 'x-sequoiafield-deadline-ms': faultCase.deadlineMs } : {}),
  };
  t.after(async () => {
    await Promise.all([entryNode.stop(), serverNode.stop()]);
    server.closeAllConnections();
    server.close();
  });
  const response = await fetch(`${entryNode.url}${faultCase.path ?? '/ok'}`, { method, headers });
  const text = await response.text().catch(() => 'body broken');
  const outcome = response.headers.get('x-sequoiafield-outcome');
  const reason = response.headers.get('x-sequoiafield-reason');
  const answerText = outcome ? `${outcome} ${reason}` : text;
  const runs = backendServer.runsOf('r-1');
  if (outcome) assert.equal((JSON.parse(text) as { outcome: string }).outcome, outcome);
  return { result: `${response.status} ${answerText}, ran ${runs}`, outcome, runs };
};

test('only requests that did not run are refused as "not run"', async (t) => {
  // Guards against wrong refusals, duplicate runs and truncated answers after a fault at any step.
  const table: Record<string, Record<string, string>> = {};
  for (const [name, faultCase] of Object.entries(faultCases)) {
    const lookup = await callOnce(t, faultCase, 'GET');
    const settle = await callOnce(t, faultCase, 'POST');
    table[name] = { lookup: lookup.result, settle: settle.result };
    for (const observed of [lookup, settle]) {
      const isWrongRefusal = observed.outcome === RefusalOutcome.NotRun && observed.runs > 0;
      assert.ok(!isWrongRefusal, `${name}: refused as "not run" but ran ${observed.runs} times`);
    }
    assert.ok(settle.runs <= 1, `${name}: a settlement ran ${settle.runs} times`);
  }
  matchSnapshot(import.meta.filename, 'result per fault and step', table);
});

test('a classifier that reports each failure as "not run" causes a wrong refusal and a duplicate run', async (t) => {
  // Checks that the table above detects a classifier that ignores whether the request was written.
  const classifier = {
    classify: (_wasWritten: boolean, reason: RefusalReason, detail: string) =>
      createNotRunRefusal(reason, detail),
  };
  const observed = await callOnce(t, { path: '/drop' }, 'POST', { classifier });
  assert.ok(observed.runs > 1 && observed.outcome === RefusalOutcome.NotRun, observed.result);
});

test('a retry after an unknown outcome causes a duplicate run', async (t) => {
  // Checks that the table above detects a retry policy that ignores the outcome.
  const retryPolicy = {
    mayRetryAfterAnswer: () => false,
    mayRetry: ({ attemptsSoFar }: { attemptsSoFar: number }) => attemptsSoFar < 3,
  };
  const observed = await callOnce(t, { path: '/drop' }, 'POST', { retryPolicy });
  assert.equal(observed.runs, 3);
});

test('a call that is refused as over the share goes to the old version of the move', async (t) => {
  // Guards against a fallback to the configuration's stable version if the move starts from another
  // version: the call would find no backend server. Here v1 is refused and v0 is the old version.
  const refusal = createNotRunRefusal(RefusalReason.VersionOverShare, 'over the share');
  const serverNode = await new CallNodeFixture('b', { admit: () => refusal }).start();
  const entryNode = await new CallNodeFixture('a', {
    chooseVersion: (roll) => (roll < 1 ? 'v1' : 'v0'),
  }).start();
  t.after(() => Promise.all([entryNode.stop(), serverNode.stop()]));
  entryNode.setMembers([serverNode.row]);
  await fetch(`${entryNode.url}/lookup`);
  assert.deepEqual(entryNode.requestedVersions.slice(0, 2), ['v1', 'v0']);
});
