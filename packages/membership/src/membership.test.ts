import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { matchSnapshot } from '@sequoiafield/test-kit';
import {
  DirectMessageKind,
  FleetQueryKind,
  LinkRequestKind,
  MemberState,
} from '@sequoiafield/types';
import type { GossipRow } from './gossip-row.js';
import { createMembershipCounters } from './counters.js';
import { MalformedItemLog } from './malformed-item-log.js';
import { MembersTable } from './members-table.js';
import { RowSync } from './row-sync.js';
import {
  membershipNodeAddress,
  countKnownStates,
  MembershipFleet,
  type FleetNode,
} from './test-support/membership-fleet.js';

let fleet: MembershipFleet;

beforeEach(() => {
  fleet = new MembershipFleet();
});

afterEach(() => fleet.stop());

test('a killed member is declared dead within seconds and returns only as a new incarnation', async () => {
  // Guards against a dead member that still receives work, or that an old rumour makes alive again.
  await fleet.start(8);
  const killed = fleet.nodes[7] as FleetNode;
  const others = fleet.nodes.slice(0, 7);
  fleet.kill(killed);
  const stateCounts: Record<string, unknown> = {};
  await fleet.clock.advance(12_000, 20);
  stateCounts['12 s after the kill'] = countKnownStates(killed.self.id, others);
  await fleet.startNode(8);
  await fleet.clock.advance(10_000, 20);
  stateCounts['after the restart'] = countKnownStates(killed.self.id, others);
  matchSnapshot(import.meta.filename, 'kill and restart', stateCounts);
});

test('two running processes with the same id stop outranking each other', async () => {
  // Guards against two nodes with the same id by a wrong setting: each raises its announced incarnation
  // above that of the other, and the fleet sends their rumours without end.
  await fleet.start(6);
  const duplicated = fleet.nodes[5] as FleetNode;
  await fleet.startNode(7, {
    id: duplicated.self.id,
    incarnation: duplicated.self.incarnation - 1000,
  });
  await fleet.clock.advance(20_000, 20);
  const announced = (): (number | undefined)[] =>
    fleet.nodes
      .slice(0, 5)
      .map(({ membership }) => membership.view.get(duplicated.self.id) as GossipRow | undefined)
      .map((row) => row?.announcedIncarnation);
  const before = announced();
  await fleet.clock.advance(20_000, 20);
  assert.deepEqual(announced(), before);
});

test('a paused member refutes its death with the same incarnation after it resumes', async () => {
  // Guards against a paused node that remains dead for the others after it resumes, or that returns as
  // another incarnation.
  await fleet.start(6);
  const paused = fleet.nodes[2] as FleetNode;
  const others = fleet.nodes.filter((node) => node !== paused);
  paused.loop.stop();
  fleet.network.freeze(paused.self.address);
  await fleet.clock.advance(15_000, 20);
  const frozen = countKnownStates(paused.self.id, others);
  fleet.network.thaw(paused.self.address);
  paused.loop.start();
  paused.loop.runOnce();
  await fleet.clock.advance(10_000, 20);
  const thawed = countKnownStates(paused.self.id, others);
  assert.ok(
    others.every(
      ({ membership }) =>
        membership.view.get(paused.self.id)?.incarnation === paused.self.incarnation,
    ),
  );
  matchSnapshot(import.meta.filename, 'freeze and thaw', { frozen, thawed });
});

test('regions merge again after a partition of an hour', async () => {
  // Guards against regions that stay separate after the partition heals until an operator intervenes.
  await fleet.start(8);
  const isInRegion1 = (node: FleetNode): boolean => node.self.region === 'region-1';
  const sides = [
    fleet.nodes.filter(isInRegion1),
    fleet.nodes.filter((node) => !isInRegion1(node)),
  ] as const;
  for (const left of sides[0]) {
    for (const right of sides[1]) fleet.network.cut(left.self.address, right.self.address);
  }
  await fleet.clock.advance(3_600_000, 100);
  const apart = countKnownStates((sides[1][0] as FleetNode).self.id, sides[0]);
  const own = countKnownStates((sides[0][0] as FleetNode).self.id, sides[0]);
  fleet.network.healAll();
  await fleet.clock.advance(20_000, 20);
  const sizes = fleet.nodes.map(({ membership }) => membership.view.fleetSize());
  matchSnapshot(import.meta.filename, 'partition of an hour', { apart, own, sizes });
});

test('a drain is known everywhere within 3 s and stays known while the member is suspected', async () => {
  // Guards against new work for a draining member (invariant 10), also if it is suspected meanwhile.
  await fleet.start(30);
  const leaving = fleet.nodes[4] as FleetNode;
  leaving.membership.announceDraining();
  await fleet.clock.advance(1000);
  const afterOneSecond = countKnownStates(leaving.self.id, fleet.nodes);
  leaving.loop.stop();
  fleet.network.freeze(leaving.self.address);
  await fleet.clock.advance(2000);
  const whileSilent = countKnownStates(leaving.self.id, fleet.nodes);
  matchSnapshot(import.meta.filename, 'drain', { afterOneSecond, whileSilent });
});

test('a cancelled drain is known everywhere and takes precedence over rumours of the drain', async () => {
  // Guards against a member that gets no work after its drain is cancelled, or that an old rumour of the
  // drain marks as draining again.
  await fleet.start(12);
  const returning = fleet.nodes[4] as FleetNode;
  returning.membership.announceDraining();
  await fleet.clock.advance(1000);
  assert.deepEqual(countKnownStates(returning.self.id, fleet.nodes), { Draining: 12 });
  returning.membership.announceDrainCancelled();
  await fleet.clock.advance(3000);
  assert.deepEqual(countKnownStates(returning.self.id, fleet.nodes), { Alive: 12 });
  await fleet.clock.advance(30_000, 20);
  assert.deepEqual(countKnownStates(returning.self.id, fleet.nodes), { Alive: 12 });
});

test('malformed and foreign datagrams are dropped and counted', async () => {
  // Guards against datagrams of a foreign sender that stop a node or change its members.
  await fleet.start(2);
  const before = fleet.nodes[0]?.membership.counters.droppedDatagrams ?? 0;
  const foreignSocket = fleet.network.port('10.9.9.9');
  const bodies = ['', 'GET / HTTP/1.1', '\u0091\u00a4sqf0', 'x'.repeat(1500)];
  for (const body of bodies)
    foreignSocket.send(Buffer.from(body, 'latin1'), 7000, membershipNodeAddress(1));
  await fleet.clock.advance(100);
  assert.equal((fleet.nodes[0]?.membership.counters.droppedDatagrams ?? 0) - before, bodies.length);
  assert.equal(fleet.nodes[0]?.membership.view.fleetSize(), 2);
});

test('a fleet query reaches every node and names the one that does not answer', async () => {
  // Guards against a report that a version is active on N of N nodes although one did not answer.
  await fleet.start(40);
  for (const { membership, self } of fleet.nodes) {
    membership.fleetQuery.register<null, string[]>(FleetQueryKind.ActiveVersion, {
      answer: () => [self.id],
      merge: (left, right) => [...left, ...right],
    });
  }
  const ask = async (): Promise<unknown> => {
    const pendingAnswer = fleet.nodes[0]?.membership.fleetQuery.ask<null, string[]>(
      FleetQueryKind.ActiveVersion,
      null,
      2000,
    );
    await fleet.clock.advance(2000);
    const answer = await pendingAnswer;
    const { value = [], answered, total, missingIds } = answer ?? {};
    return { answered, total, missingIds, distinct: new Set(value).size };
  };
  const all = await ask();
  fleet.kill(fleet.nodes[20] as FleetNode);
  matchSnapshot(import.meta.filename, 'fleet query', { all, withOneSilent: await ask() });
});

test('a join exchanges digests before rows and distributes the pages over its peers', async () => {
  // Guards against a joining node that requests the whole table from a single peer.
  const rowOf = (index: number): GossipRow => ({
    ...((fleet.nodes[0] as FleetNode).membership.view.get('node-001') as GossipRow),
    id: `member-${index}`,
    refutation: 0,
  });
  await fleet.start(1);
  const malformedItems = new MalformedItemLog(createMembershipCounters(), new SilentLogger());
  const syncNodes = ['peer-0', 'peer-1', 'peer-2', 'joining'].map((id, index) => {
    const requester = fleet.network.links(membershipNodeAddress(100 + index), id);
    const table = new MembersTable({ ...rowOf(0), id });
    for (let row = 0; row < 2000 && id !== 'joining'; row++) table.merge(rowOf(row));
    return { table, sync: new RowSync(table, requester, malformedItems), row: { ...rowOf(0), id } };
  });
  const requestCounts: Record<string, number> = {};
  fleet.network.onRequest = (_, kind, toId) => {
    const name = `${LinkRequestKind[kind]} ${toId}`;
    requestCounts[name] = (requestCounts[name] ?? 0) + 1;
  };
  const peers = syncNodes
    .slice(0, 3)
    .map(({ row }, index) => ({ ...row, address: membershipNodeAddress(100 + index) }));
  const pulled = syncNodes[3]?.sync.pullFrom(peers);
  await fleet.clock.advance(500);
  assert.ok(((await pulled) ?? 0) >= 2000);
  matchSnapshot(import.meta.filename, 'requests of a join', requestCounts);
});

test('an old rumour does not restore a removed member', () => {
  // Guards against removed members that old rumours insert into the table again and again.
  const row = (id: string, incarnation: number, state: MemberState): GossipRow => ({
    ...{ id, incarnation, state, refutation: 0, configVersion: 9, stateChangedAtMs: 0 },
    announcedIncarnation: incarnation,
    serverRevision: 0,
    ...{ address: '', gossipPort: 0, linkPort: 0, callPort: 0 },
    ...{ region: '', dataCentre: '', service: 'rounds', backendVersion: 'v1' },
  });
  const table = new MembersTable(row('self', 1, MemberState.Alive));
  table.merge(row('gone', 5, MemberState.Dead));
  table.expire(23 * 3_600_000);
  assert.equal(table.get('gone')?.state, MemberState.Dead);
  table.expire(25 * 3_600_000);
  assert.equal(table.get('gone'), undefined);
  assert.equal(table.merge(row('gone', 5, MemberState.Alive)), false);
  assert.equal(table.highestKnownConfigVersion('gone'), 9);
  assert.equal(table.merge(row('gone', 6, MemberState.Alive)), true);
});

test('a mass drain stays within the byte budget', async () => {
  // Guards against control traffic above 15 KB/s per node when many members change at the same time.
  await fleet.start(30);
  const totalBytes = ({ membership: { counters } }: FleetNode): number =>
    counters.sentBytes + counters.receivedBytes;
  const before = fleet.nodes.map(totalBytes);
  for (const node of fleet.nodes.slice(0, 15)) node.membership.announceDraining();
  await fleet.clock.advance(10_000, 20);
  const perSecond = fleet.nodes.map(
    (node, index) => (totalBytes(node) - (before[index] ?? 0)) / 10,
  );
  assert.ok(Math.max(...perSecond) < 15_000, `at most ${Math.max(...perSecond)} bytes/s`);
  assert.deepEqual(countKnownStates('node-001', fleet.nodes), { Draining: 30 });
});

test('direct messages reach the subscribers of their kind', async () => {
  // Guards against evidence that is delivered to the subscriber of another kind of message.
  await fleet.start(2);
  const received: unknown[] = [];
  fleet.nodes[1]?.membership.messenger.subscribe(DirectMessageKind.Evidence, (body, fromId) => {
    received.push([body, fromId]);
  });
  fleet.nodes[0]?.membership.messenger.send('node-002', DirectMessageKind.Evidence, { calls: 3 });
  fleet.nodes[0]?.membership.messenger.send('node-002', DirectMessageKind.CallerEvidence, {});
  await fleet.clock.advance(100);
  assert.deepEqual(received, [[{ calls: 3 }, 'node-001']]);
});
