import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { FakeNetwork, pauseClock } from '@sequoiafield/test-kit';
import { MemberState, type MemberAnnouncement } from '@sequoiafield/types';
import { createMembership, type Membership } from '../index.js';

/** One node of a fleet that runs in the test process. */
export interface FleetNode {
  readonly self: MemberAnnouncement;
  readonly membership: Membership;
  readonly loop: TickLoop;
}

/** Returns the address of the node with the given index, counted from 1. */
export const membershipNodeAddress = (index: number): string => `10.0.1.${index}`;

/** Counts the nodes that know a member in each state. */
export const countKnownStates = (
  id: string,
  observers: readonly FleetNode[],
): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const { membership } of observers) {
    const name = MemberState[membership.view.get(id)?.state ?? -1] ?? 'unknown';
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
};

/** Options of a node that a test starts; they replace fields of its announcement. */
export interface FleetNodeOptions extends Partial<MemberAnnouncement> {
  /** Whether the node joins through seeds; true by default. */
  readonly hasSeeds?: boolean;
}

/** Fixture that runs the memberships of a fleet on an in-memory network and a paused clock. */
export class MembershipFleet {
  readonly clock = pauseClock();

  readonly network: FakeNetwork;

  readonly nodes: FleetNode[] = [];

  constructor(private readonly seed = 0) {
    this.network = new FakeNetwork(new SeededRandom(seed + 3));
  }

  /** Starts nodes 1 to `count` and advances the clock far enough for them to join. */
  async start(count: number): Promise<void> {
    for (let index = 1; index <= count; index++) await this.startNode(index);
    await this.clock.advance(10_000, 20);
  }

  async startNode(
    index: number,
    { hasSeeds = true, ...changes }: FleetNodeOptions = {},
  ): Promise<FleetNode> {
    const self: MemberAnnouncement = {
      id: `node-${String(index).padStart(3, '0')}`,
      incarnation: Date.now(),
      address: membershipNodeAddress(index),
      gossipPort: 7000,
      linkPort: 7001,
      callPort: 7002,
      region: `region-${index % 2}`,
      dataCentre: `dc-${index % 4}`,
      service: 'rounds',
      backendVersion: 'v1',
      ...changes,
    };
    const membership = createMembership({
      self,
      logger: new SilentLogger(),
      random: new SeededRandom(index + 100 + this.seed * 1000),
      links: this.network.links(self.address, self.id),
      socket: this.network.port(self.address),
      ownConfigVersion: () => 0,
    });
    const loop = new TickLoop(membership.systems, (_, error) => {
      throw error;
    });
    await membership.start();
    if (hasSeeds) membership.join(this.nodes.slice(0, 4).map((node) => node.self));
    loop.start();
    const node = { self, membership, loop };
    this.nodes[index - 1] = node;
    return node;
  }

  kill(node: FleetNode): void {
    node.loop.stop();
    this.network.kill(node.self.address);
  }

  stop(): void {
    for (const node of this.nodes) node.loop.stop();
    this.clock.resume();
  }
}
