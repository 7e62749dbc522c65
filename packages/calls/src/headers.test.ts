import assert from 'node:assert/strict';
import { test } from 'node:test';
import { outcomeHeader, requestIdHeader } from '@sequoiafield/types';
import { DefaultCallProtocol } from './call-protocol.js';
import { forwardHeaders } from './headers.js';

test('headers that only nodes set are not forwarded from the backend server', () => {
  // Guards against a duplicate request id header and an outcome set by the backend server.
  const raw = [requestIdHeader, 'r1', outcomeHeader, 'not-run', 'content-type', 'text/plain'];
  const { nodeOnlyAnswerHeaders } = new DefaultCallProtocol();
  assert.deepEqual(forwardHeaders(raw, nodeOnlyAnswerHeaders), [['content-type', 'text/plain']]);
});
