import assert from 'node:assert/strict';
import { test } from 'node:test';
import { outcomeHeader, requestIdHeader } from '@sequoiafield/types';
import { DefaultCallProtocol } from './call-protocol.js';
import { forwardHeaders } from './headers.js';

test('headers that the node sets are not passed on from the backend server', () => {
  // Guards against a doubled request id, and an outcome that the backend server made up.
  const raw = [requestIdHeader, 'r1', outcomeHeader, 'not-run', 'content-type', 'text/plain'];
  const { nodeOnlyAnswerHeaders: ownAnswerHeaders } = new DefaultCallProtocol();
  assert.deepEqual(forwardHeaders(raw, ownAnswerHeaders), [['content-type', 'text/plain']]);
});
