import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicNowMs } from '@sequoiafield/tables';
import { BodyChannel } from '@sequoiafield/transport';
import { sampleOpen } from '@sequoiafield/test-kit';
import type { Admission } from '@sequoiafield/types';
import { BackendCallReceiver, UndiciBackendClient } from './index.js';
import { listen } from './test-support/call-node-fixture.js';
import { FaultyBackend } from './test-support/faulty-backend.js';

const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 10 };
const admission: Admission = {
  load: () => load,
  admit: async () => ({ kind: 'permit', permit: { release: () => undefined } }),
};
const timeoutMs = 300;

const countUsage = async (origin: string, path: string, account?: string): Promise<number> => {
  let count = 0;
  const backend = new UndiciBackendClient({ origin, connectionsMax: 4 });
  const receiver = new BackendCallReceiver({
    self: { incarnation: 1, service: 's', backendVersion: 'v1' },
    rollout: { chooseVersion: () => 'v1', isAllowed: () => true, statuses: () => [] },
    evidence: { recordEnded: () => undefined, recordUnanswered: () => undefined },
    ...{ admission, backend },
    usage: {
      record: () => {
        count += 1;
        return () => {
          count -= 1;
        };
      },
    },
  });
  const deadlineAtMs = monotonicNowMs() + timeoutMs;
  const open = sampleOpen({ path, deadlineAtMs, ...(account !== undefined && { account }) });
  const noBody = new BodyChannel({ onConsumed: () => undefined, onAbandoned: () => undefined });
  noBody.end();
  const result = await receiver.receive(open, noBody, new AbortController().signal);
  if (result.kind === 'answer') {
    try {
      for await (const chunk of result.answer.body) assert.ok(chunk);
    } catch {
      // Some servers cut the body off.
    }
  }
  await backend.close();
  return count;
};

test('a request of an account counts if its server ran it, and only then', async () => {
  // Guards against usage of requests that were refused, and against requests that are left out because
  // they failed or were cut off.
  const [server, origin] = await listen(new FaultyBackend().listener);
  const counts: Record<string, number> = {};
  for (const path of ['/ok', '/fail', '/refuse', '/busy', '/drop', '/cut', '/hang'])
    counts[path] = await countUsage(origin, path, 'bozi300');
  assert.deepEqual(counts, {
    ...{ '/ok': 1, '/fail': 1, '/refuse': 0, '/busy': 1, '/drop': 1, '/cut': 1, '/hang': 1 },
  });
  assert.equal(await countUsage('http://127.0.0.1:9', '/ok', 'bozi300'), 0);
  assert.equal(await countUsage(origin, '/ok'), 0);
  server.closeAllConnections();
  server.close();
});
