import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '@sequoiafield/tables';
import { sampleMember } from '@sequoiafield/test-kit';
import { AttemptSequence } from '@sequoiafield/transport';
import {
  Priority,
  RefusalOutcome,
  RefusalReason,
  type CallResult,
  type MemberRow,
} from '@sequoiafield/types';
import type { CallProxyOptions } from './call-proxy-options.js';
import type { RoutedRequest } from './create-open.js';
import { RetryingCall } from './retrying-call.js';
import { CallCounters } from './call-counters.js';
import { ReachedServerRetryPolicy } from './reached-server-retry-policy.js';
import { toRefusalResult, createNotRunRefusal } from './refusals.js';

const member = sampleMember('old-1', { backendVersion: 'old' });

const call: RoutedRequest = {
  requestId: 'r',
  match: {
    route: {
      ...{ name: 'look', isIdempotent: true, deadlineMs: 1000, retryBudgetPercent: 20 },
      attemptsMax: 2,
    },
    service: { name: 's', priority: Priority.Normal, stableVersion: '' },
  },
  method: 'GET',
  path: '/',
  headers: [],
  body: undefined,
  configVersion: 1,
  deadlineAtMs: Number.MAX_SAFE_INTEGER,
};

/** Runs one call with members that have no free slot; returns whether each attempt might wait. */
const runBesideBusyMembers = async (
  mayHaveFreeSlot: (member: MemberRow) => boolean,
): Promise<readonly string[]> => {
  const attempts: string[] = [];
  const members = ['a', 'b', 'c'].map((id) => sampleMember(id));
  const options: Partial<CallProxyOptions> = {
    rollout: { chooseVersion: () => 'v1', isAllowed: () => true, statuses: () => [] },
    router: {
      match: () => undefined,
      choose: () => members[attempts.length % members.length],
      mayHaveFreeSlot: (_service, chosen) => mayHaveFreeSlot(chosen),
      begin: () => undefined,
      report: () => undefined,
      recordFirstAttempt: () => undefined,
      takeRetry: () => assert.fail('a refusal by a node takes no retry from the budget'),
    },
    sender: {
      send: (to, open) => {
        attempts.push(`${to.id} ${open.mayWait === false ? 'does not wait' : 'may wait'}`);
        const reason = open.mayWait === false ? RefusalReason.ServerBusy : RefusalReason.Cancelled;
        return Promise.resolve(toRefusalResult(createNotRunRefusal(reason, '')));
      },
    },
    self: { ...member, id: 'near' },
    sequence: new AttemptSequence(),
    random: new SeededRandom(1),
  };
  const { signal } = new AbortController();
  const policy = new ReachedServerRetryPolicy();
  const counters = new CallCounters();
  await new RetryingCall(call, options as CallProxyOptions, policy, counters, signal).run();
  return attempts;
};

test('a call asks two members not to be queued before it waits at the third', async () => {
  // Guards against a call that waits at a full server while another has a free slot, and against one
  // that continues to look for a free slot in an overloaded fleet.
  assert.deepEqual(await runBesideBusyMembers(() => true), [
    'a does not wait',
    'b does not wait',
    'c may wait',
  ]);
});

test('a call waits at a member whose fresh report shows no free slot', async () => {
  // Guards against round trips that are known to find no free slot.
  assert.deepEqual(await runBesideBusyMembers(() => false), ['a may wait']);
});

/** Runs one call during a move; `memberByVersion` holds the members that accept calls. */
const runWith = async (
  memberByVersion: Readonly<Record<string, MemberRow>>,
  { seed = 1, newShare = 1 } = {},
): Promise<{ result: CallResult; sentTo: string[] }> => {
  const sentTo: string[] = [];
  const options: Partial<CallProxyOptions> = {
    rollout: {
      chooseVersion: (_service, roll) => (roll < newShare ? 'new' : 'old'),
      isAllowed: () => true,
      statuses: () => [],
    },
    router: {
      match: () => undefined,
      choose: (_service, version) => memberByVersion[version],
      retryAfterMs: () => 60,
      begin: () => undefined,
      report: () => undefined,
      recordFirstAttempt: () => undefined,
      takeRetry: () => true,
    },
    sender: {
      send: (to) => {
        sentTo.push(to.id);
        return Promise.resolve(
          toRefusalResult(createNotRunRefusal(RefusalReason.Cancelled, 'enough for the test')),
        );
      },
    },
    self: { ...member, id: 'near' },
    sequence: new AttemptSequence(),
    random: new SeededRandom(seed),
  };
  const { signal } = new AbortController();
  const policy = new ReachedServerRetryPolicy();
  const retryingCall = new RetryingCall(
    call,
    options as CallProxyOptions,
    policy,
    new CallCounters(),
    signal,
  );
  return { result: await retryingCall.run(), sentTo };
};

test('a call goes to the old version while no member of the new version accepts calls', async () => {
  // Guards against refused calls during a move although members of the old version accept calls.
  assert.deepEqual((await runWith({ old: member })).sentTo, ['old-1']);
});

test('a call for the old version does not fall back to the new one', async () => {
  // Guards against a new version that exceeds its share while the old version accepts no calls.
  const newMember = { ...member, id: 'new-1', backendVersion: 'new' };
  const sent = await Promise.all(
    Array.from({ length: 200 }, (_, seed) => runWith({ new: newMember }, { seed, newShare: 0.1 })),
  );
  const sentToNew = sent.filter(({ sentTo }) => sentTo.includes('new-1')).length;
  // 20 calls are expected; 33 is three standard deviations above that.
  assert.ok(sentToNew <= 33, `${sentToNew} of 200 calls`);
});

test('a call that no member accepts is refused at once with a retry delay', async () => {
  // Guards against a refusal without a reason, and against a round trip to each full server.
  const { result, sentTo } = await runWith({});
  assert.deepEqual(sentTo, []);
  assert.ok(result.kind === 'refusal');
  assert.equal(result.refusal.outcome, RefusalOutcome.NotRun);
  assert.equal(result.refusal.reason, RefusalReason.QueueFull);
  const retryAfterMs = result.refusal.retryAfterMs ?? 0;
  assert.ok(retryAfterMs >= 30 && retryAfterMs <= 90, `${retryAfterMs} ms`);
});
