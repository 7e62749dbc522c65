import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { Packr } from 'msgpackr';
import { MemberState } from '@sequoiafield/types';
import { encodeMessage, encodeRow, GossipItemKind, GossipMessageType, rowToTuple } from './wire.js';
import type { GossipRow } from './gossip-row.js';
import { MembershipFleet, type FleetNode } from './test-support/membership-fleet.js';

const packr = new Packr({ useRecords: false });

let fleet: MembershipFleet;

beforeEach(() => {
  fleet = new MembershipFleet();
});

afterEach(() => fleet.stop());

const oddPorts = [0, 65_536, -1, 1.5, 9e15, Number.POSITIVE_INFINITY, '7000', null];

const rowOf = ({ membership, self }: FleetNode): GossipRow =>
  membership.view.get(self.id) as GossipRow;

/** Encodes a row whose gossip and link port are odd. */
const encodeOddRow = (row: GossipRow, port: unknown): Uint8Array => {
  const tuple: unknown[] = [...rowToTuple(row)];
  tuple[6] = port;
  tuple[7] = port;
  return packr.pack([GossipItemKind.Row, tuple]);
};

test('a row with an odd port affects nothing else; the other rows of its datagram count', async () => {
  // Guards against one odd entry, after which a node probes or dials an address that throws, or drops
  // what arrives with it.
  await fleet.start(3);
  const [first, second] = fleet.nodes as [FleetNode, FleetNode];
  const sender = rowOf(second);
  for (const [index, port] of oddPorts.entries()) {
    const odd = { ...sender, id: `odd-${index}`, address: '10.0.9.9' };
    const sound = { ...sender, id: `sound-${index}`, address: '10.0.9.8' };
    const datagram = encodeMessage({
      ...{ type: GossipMessageType.Push, fromId: second.self.id, fromIncarnation: 1 },
      ...{ headRank: 0, registerHash: 0, sequence: 0, argument: null },
      items: [encodeOddRow(odd, port), encodeRow(sound)],
    });
    fleet.network.port('10.0.1.99').send(datagram, first.self.gossipPort, first.self.address);
  }
  await fleet.clock.advance(100);
  const known = [...first.membership.view.all()].map(({ id }) => id);
  assert.deepEqual(
    known.filter((id) => id.startsWith('odd-')),
    [],
  );
  assert.equal(known.filter((id) => id.startsWith('sound-')).length, oddPorts.length);
});

test('a node joins through a peer whose table holds odd rows', async () => {
  // Guards against an exchange of rows that fails as a whole, so that the node never learns the fleet.
  await fleet.start(4);
  const holder = fleet.nodes[0] as FleetNode;
  const table = holder.membership.view as unknown as {
    merge(row: GossipRow): boolean;
  };
  table.merge({ ...rowOf(holder), id: 'odd', linkPort: 70_000, state: MemberState.Alive });
  const joined = await fleet.startNode(5);
  await fleet.clock.advance(5000);
  const known = [...joined.membership.view.all()].map(({ id }) => id);
  assert.ok(known.includes('node-001') && known.includes('node-004'), known.join(' '));
  assert.ok(!known.includes('odd'));
});
