import assert from 'node:assert/strict';
import type { IncomingHttpHeaders } from 'node:http';
import { test } from 'node:test';
import { KeyVerdict, Priority, type KeyCheck, type KeyChecker } from '@sequoiafield/types';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

const keyHeader = 'x-sequoiafield-account-key';
const accountHeader = 'x-sequoiafield-account';
const key = 'sch\u00fcssel';
/** Key as a client sends it: UTF-8 bytes, which `fetch` takes as Latin-1 text. */
const sentKey = Buffer.from(key, 'utf8').toString('latin1');

const keyChecker: KeyChecker = {
  check: (given) => {
    if (given === undefined) return { verdict: KeyVerdict.Missing };
    if (given === 'newer') return { verdict: KeyVerdict.Undecided };
    if (given !== key) return { verdict: KeyVerdict.Unknown };
    return { verdict: KeyVerdict.Accepted, account: { name: 'shop', keyHashes: [] } };
  },
};

test('servers get the account of the request over links and on retries, and never the key', async () => {
  // Guards against a key that leaves the node, an account that a client claims, and a retry that lacks
  // the account.
  const received: IncomingHttpHeaders[] = [];
  const [, origin] = await listen((request, response) => {
    received.push(request.headers);
    if (received.length === 1) response.writeHead(503, { 'x-backend-refused': 'not-run' });
    response.end();
  });
  const nodes = ['b', 'c'].map((id) => new CallNodeFixture(id, { origin }).start());
  const entryNode = await new CallNodeFixture('a', { keyChecker }).start();
  entryNode.setMembers((await Promise.all(nodes)).map(({ row }) => row));
  const headers = { [keyHeader]: sentKey, [accountHeader]: 'forged' };
  assert.equal((await fetch(`${entryNode.url}/tabs`, { headers })).status, 200);
  assert.deepEqual(
    received.map(({ [accountHeader]: account, [keyHeader]: sent }) => [account, sent]),
    [
      ['shop', undefined],
      ['shop', undefined],
    ],
  );
});

test('the rank of the account is the priority of its calls; without one, the route decides', async (t) => {
  // Guards against an account whose calls are queued behind those of less important accounts.
  let rank: number | undefined = 3;
  const [, origin] = await listen((_request, response) => response.end());
  const check = (): KeyCheck => ({
    verdict: KeyVerdict.Accepted,
    account: { name: 'shop', keyHashes: [], ...(rank !== undefined && { rank }) },
  });
  const node = await new CallNodeFixture('a', { origin, keyChecker: { check } }).start();
  node.setMembers([node.row]);
  const receive = t.mock.method(node.receiver, 'receive');
  await fetch(`${node.url}/tabs`);
  rank = undefined;
  await fetch(`${node.url}/tabs`);
  const opens = receive.mock.calls.map((call) => call.arguments[0]);
  assert.deepEqual(
    opens.map(({ account, priority }) => [account, priority]),
    [
      ['shop', 3],
      ['shop', Priority.Critical],
    ],
  );
});

test('a missing or unknown key is refused with 401, an undecided one with 503', async () => {
  // Guards against a request that runs without a valid key, and against 401 for a key that this node
  // cannot know yet.
  const node = await new CallNodeFixture('a', { keyChecker }).start();
  node.setMembers([node.row]);
  const send = (given: string | undefined): Promise<Response> =>
    fetch(`${node.url}/tabs`, { headers: given === undefined ? {} : { [keyHeader]: given } });
  const answers = await Promise.all([undefined, '', 'wrong', 'newer'].map(send));
  assert.deepEqual(
    answers.map(({ status, headers }) => [status, headers.get('x-sequoiafield-reason')]),
    [
      [401, 'unknown-key'],
      [401, 'unknown-key'],
      [401, 'unknown-key'],
      [503, 'not-ready'],
    ],
  );
  assert.equal(node.calls.counters.callsStarted, 0);
  assert.equal(node.calls.counters.callsNotRun, 4);
});
