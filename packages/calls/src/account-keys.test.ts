import assert from 'node:assert/strict';
import type { IncomingHttpHeaders } from 'node:http';
import { test } from 'node:test';
import { KeyVerdict, Priority, type KeyChecker } from '@sequoiafield/types';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

const keyHeader = 'x-sequoiafield-account-key';
const accountHeader = 'x-sequoiafield-account';
const sentKey = Buffer.from('sch\u00fcssel', 'utf8').toString('latin1');
const account = { name: 'shop', keyHashes: [] };

const keyChecker: KeyChecker = {
  check: (key) => {
    if (key === undefined) return { verdict: KeyVerdict.Missing };
    if (key === 'newer') return { verdict: KeyVerdict.Undecided };
    if (key === 'ranked') return { verdict: KeyVerdict.Accepted, account: { ...account, rank: 3 } };
    if (key !== 'sch\u00fcssel') return { verdict: KeyVerdict.Unknown };
    return { verdict: KeyVerdict.Accepted, account };
  },
};

const send = (node: CallNodeFixture, key: string): Promise<Response> =>
  fetch(`${node.url}/tabs`, { headers: { [keyHeader]: key, [accountHeader]: 'forged' } });

test('servers get the account over links and on retries, its rank as priority, and no key', async (t) => {
  // Guards against a key that leaves the node, an account that a client claims, a retry that lacks the
  // account, and an account whose calls are queued by the rank of their route.
  const received: IncomingHttpHeaders[] = [];
  const [, origin] = await listen((request, response) => {
    received.push(request.headers);
    if (received.length === 1) response.writeHead(503, { 'x-backend-refused': 'not-run' });
    response.end();
  });
  const nodes = ['b', 'c'].map((id) => new CallNodeFixture(id, { origin }));
  const spies = nodes.map(({ receiver }) => t.mock.method(receiver, 'receive'));
  const entryNode = await new CallNodeFixture('a', { keyChecker }).start();
  await Promise.all(nodes.map((node) => node.start()));
  entryNode.setMembers(nodes.map(({ row }) => row));
  for (const key of [sentKey, 'ranked']) assert.equal((await send(entryNode, key)).status, 200);
  for (const headers of received) {
    assert.deepEqual([headers[accountHeader], headers[keyHeader]], ['shop', undefined]);
  }
  const opens = spies.flatMap(({ mock }) => mock.calls.map((call) => call.arguments[0]));
  assert.deepEqual(
    opens.map(({ priority }) => priority),
    [Priority.Critical, 3, Priority.Critical],
  );
});

test('a missing or unknown key is refused with 401, an undecided one with 503', async () => {
  // Guards against a request that runs without a valid key, and against 401 for a key that this node
  // cannot know yet.
  const node = await new CallNodeFixture('a', { keyChecker }).start();
  node.setMembers([node.row]);
  const answers = await Promise.all(['', 'wrong', 'newer'].map((key) => send(node, key)));
  assert.deepEqual(
    answers.map(({ status, headers }) => `${status} ${headers.get('x-sequoiafield-reason')}`),
    ['401 unknown-key', '401 unknown-key', '503 not-ready'],
  );
  assert.equal(node.calls.counters.callsStarted, 0);
});
