import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest, parseLogLine } from './explain-request.js';

const line = (node: string, atS: number, message: string, fields: object): string =>
  JSON.stringify({ node, timestamp: `2026-01-01T00:00:0${atS}.000Z`, message, ...fields });

test('a request is shown with what the nodes that decided on it believed', () => {
  // Guards against an explanation from lines of other nodes, former processes, later beliefs or other
  // requests, and against one without the call that failed the run.
  const texts = [
    line('b', 3, 'backendServerLeaving', { instanceId: 'i-1' }),
    line('a', 0, 'storeUnavailable', { error: 'of the former process' }),
    line('a', 0, 'nodeStarted', { id: 'a' }),
    line('a', 1, 'ordersInForce', { configVersion: 3 }),
    line('a', 2, 'callRefused', { requestId: 'r1', memberIds: 'b', reason: 'draining' }),
    line('b', 1, 'backendServerAnnounced', { instanceId: 'i-1' }),
    line('c', 1, 'ordersInForce', { configVersion: 9 }),
    line('a', 2, 'callRefused', { requestId: 'r2', memberIds: 'b' }),
    line('a', 2, 'callRefused', { requestId: 'r10', memberIds: 'b' }),
    line('b', 2, 'callRefused', { requestId: 'r1.7', memberIds: 'b', reason: 'queue-full' }),
    'a line of another program',
    'prefix {"broken',
  ];
  const lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  assert.deepEqual(explainRequest('r1', lines), [
    'What the nodes believed:',
    '2026-01-01T00:00:00.000Z a nodeStarted id=a',
    '2026-01-01T00:00:01.000Z a ordersInForce configVersion=3',
    '2026-01-01T00:00:01.000Z b backendServerAnnounced instanceId=i-1',
    'What they did:',
    '2026-01-01T00:00:02.000Z a callRefused requestId=r1 memberIds=b reason=draining',
    '2026-01-01T00:00:02.000Z b callRefused requestId=r1.7 memberIds=b reason=queue-full',
  ]);
  assert.deepEqual(explainRequest('r9', lines), []);
});
