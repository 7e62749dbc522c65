import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest, parseLogLine } from './explain-request.js';

const formatLogLine = (node: string, atS: number, message: string, fields: object): string =>
  JSON.stringify({ node, timestamp: `2026-01-01T00:00:0${atS}.000Z`, message, ...fields });

test('a request is explained with the last known state of the nodes that decided on it', () => {
  // Guards against an explanation with lines of other nodes, former processes, later states or
  // other requests, and against one without the inner call that made the request fail.
  const texts = [
    formatLogLine('b', 3, 'backendServerLeaving', { instanceId: 'i-1' }),
    formatLogLine('a', 0, 'storeUnavailable', { error: 'of the former process' }),
    formatLogLine('a', 0, 'nodeStarted', { id: 'a' }),
    formatLogLine('a', 1, 'ordersInForce', { configVersion: 3 }),
    formatLogLine('a', 2, 'callRefused', { requestId: 'r1', memberIds: 'b', reason: 'draining' }),
    formatLogLine('b', 1, 'backendServerAnnounced', { instanceId: 'i-1' }),
    formatLogLine('c', 1, 'ordersInForce', { configVersion: 9 }),
    formatLogLine('a', 2, 'callRefused', { requestId: 'r2', memberIds: 'b' }),
    formatLogLine('a', 2, 'callRefused', { requestId: 'r10', memberIds: 'b' }),
    formatLogLine('b', 2, 'callRefused', {
      requestId: 'r1.7',
      memberIds: 'b',
      reason: 'queue-full',
    }),
    'a line of another program',
    'prefix {"broken',
  ];
  const lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  assert.deepEqual(explainRequest('r1', lines), [
    'Last known state of the nodes:',
    '2026-01-01T00:00:00.000Z a nodeStarted id=a',
    '2026-01-01T00:00:01.000Z a ordersInForce configVersion=3',
    '2026-01-01T00:00:01.000Z b backendServerAnnounced instanceId=i-1',
    'Events of the request:',
    '2026-01-01T00:00:02.000Z a callRefused requestId=r1 memberIds=b reason=draining',
    '2026-01-01T00:00:02.000Z b callRefused requestId=r1.7 memberIds=b reason=queue-full',
  ]);
  assert.deepEqual(explainRequest('r9', lines), []);
});
