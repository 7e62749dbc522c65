import type { SeedAddress } from '@sequoiafield/membership';
import { SeededRandom } from '@sequoiafield/tables';
import type { Snapshot } from '@sequoiafield/types';
import { FakeNetwork, pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { FakeConfigurationStore, makeServiceBody } from './fake-configuration-store.js';
import {
  distributionNodeAddress,
  DistributionFixture,
  type MechanismOverrides,
} from './distribution-fixture.js';

const mesh = JSON.stringify({ dataCentres: [] });

/** Creates the section bodies of a configuration in which every section contains the version. */
export const makeSectionBodies = (version: number): Record<string, string> => ({
  mesh: JSON.stringify({
    dataCentres: ['dc-0', 'dc-1', 'dc-2'].map((name) => ({ name })),
    mark: version,
  }),
  rounds: makeServiceBody('rounds', version),
  settlement: makeServiceBody('settlement', version),
});

/** A few nodes in three data centres and two regions, with one store. */
export class TestFleet {
  readonly clock: PausedClock = pauseClock();

  readonly network: FakeNetwork;

  readonly store = new FakeConfigurationStore();

  readonly nodes: DistributionFixture[] = [];

  /** Ids of nodes that announced draining. */
  readonly drained = new Set<string>();

  /** Highest version that each instance has served. */
  readonly servedVersions = new Map<string, number>();

  /** Called after each swap with the number of the node. */
  onSnapshotActivated: (index: number, snapshot: Snapshot) => void = () => undefined;

  constructor(
    private readonly seed: number,
    private readonly mechanisms: MechanismOverrides = {},
  ) {
    this.network = new FakeNetwork(new SeededRandom(seed));
    this.store.accept(1, { mesh });
  }

  /** Starts nodes and advances the clock until they know each other and serve. */
  async start(count: number): Promise<void> {
    this.store.accept(1, makeSectionBodies(1));
    for (let index = 1; index <= count; index++) await this.startNode(index);
    await this.clock.advance(8000);
  }

  /** Starts or restarts the node with a number. */
  async startNode(index: number, joinSeeds?: readonly SeedAddress[]): Promise<DistributionFixture> {
    const seeds = (): DistributionFixture['self'][] =>
      this.nodes
        .filter((node) => node.self.address !== distributionNodeAddress(index))
        .map((node) => node.self);
    const node = new DistributionFixture(
      index,
      this.seed,
      this.network,
      this.store,
      seeds,
      this.mechanisms,
      (snapshot) => this.onSnapshotActivated(index, snapshot),
    );
    await node.start(joinSeeds ?? seeds().slice(0, 5));
    this.nodes[index - 1] = node;
    return node;
  }

  node(index: number): DistributionFixture {
    const node = this.nodes[index - 1];
    if (!node) throw new Error(`Node ${index} was not started`);
    return node;
  }

  /** Cuts all links between two groups of nodes. */
  partition(left: readonly DistributionFixture[], right: readonly DistributionFixture[]): void {
    for (const one of left) {
      for (const other of right) this.network.cut(one.self.address, other.self.address);
    }
  }

  stop(): void {
    for (const node of this.nodes) node.kill();
    this.clock.resume();
  }
}
