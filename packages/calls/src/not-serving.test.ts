import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallRefusal } from '@sequoiafield/types';
import type { RefusalHead } from './call-protocol.js';
import { DefaultCallProtocol } from './index.js';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

/** Time in which a node that starts gets its configuration, and the spread around it. */
const hintMinMs = 400;
const hintMaxMs = 800;

class ProtocolWithRetryAfter extends DefaultCallProtocol {
  override refusalHead(refusal: CallRefusal): RefusalHead {
    return { status: 503, headers: [['retry-after', String((refusal.retryAfterMs ?? 0) / 1000)]] };
  }
}

test('a node that does not serve yet refuses at once and says when to come back', async () => {
  // Guards against callers that use up their only retry while the node still starts.
  const [, origin] = await listen((_request, response) => response.end('done'));
  const node = await new CallNodeFixture('a', {
    origin,
    protocol: new ProtocolWithRetryAfter(),
  }).start();
  node.setMembers([node.row]);
  node.setServing(false);
  const startedAtMs = performance.now();
  const hints: number[] = [];
  for (let request = 0; request < 20; request++) {
    const answer = await fetch(`${node.url}/ok`);
    assert.equal(answer.status, 503);
    hints.push(1000 * Number(answer.headers.get('retry-after')));
  }
  assert.ok(performance.now() - startedAtMs < hintMaxMs, 'the refusals were not held back');
  const isSpread = new Set(hints).size > 1;
  assert.ok(hints.every((hint) => hint >= hintMinMs && hint <= hintMaxMs) && isSpread, `${hints}`);
});

test('a node that knows of a newer configuration does not say that a route is missing', async () => {
  // Guards against 404 for a route that was added, which callers do not repeat.
  const node = await new CallNodeFixture('a').start();
  assert.equal((await fetch(`${node.url}/none`)).status, 404);
  node.isOutdated = true;
  assert.equal((await fetch(`${node.url}/none`)).status, 503);
  node.isOutdated = false;
  assert.equal((await fetch(`${node.url}/none`)).status, 404);
});
