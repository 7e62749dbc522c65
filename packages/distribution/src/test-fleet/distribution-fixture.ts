import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  createMembership,
  type Membership,
  type SeedAddress,
  type SpreadPolicy,
  type SuspicionPolicy,
} from '@sequoiafield/membership';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import type { FakeNetwork } from '@sequoiafield/test-kit';
import type { MemberAnnouncement, Snapshot } from '@sequoiafield/types';
import { createDistribution, type Distribution, type SnapshotValidator } from '../index.js';
import { fakeSectionChecker, type FakeConfigurationStore } from './fake-configuration-store.js';

/** Replacements of mechanisms, with which a test shows what the mechanisms prevent. */
export interface MechanismOverrides {
  readonly snapshotValidator?: SnapshotValidator;
  readonly spreadPolicy?: SpreadPolicy;
  readonly suspicionPolicy?: SuspicionPolicy;
}

/** Returns the address of the node with a number. */
export const distributionNodeAddress = (index: number): string => `10.0.0.${index}`;

/** Membership and distribution of one node on the fake network. */
export class DistributionFixture {
  readonly self: MemberAnnouncement;

  readonly membership: Membership;

  readonly distribution: Distribution;

  /** Versions in the order in which they became active. */
  readonly versions: number[] = [];

  readonly snapshots: Snapshot[] = [];

  /** Ids of the members that this node declared dead, in order. */
  readonly evictions: string[] = [];

  readonly #loop: TickLoop;

  constructor(
    index: number,
    seed: number,
    private readonly network: FakeNetwork,
    store: FakeConfigurationStore,
    seeds: () => readonly MemberAnnouncement[],
    mechanisms: MechanismOverrides,
    onActivated: (snapshot: Snapshot) => void,
  ) {
    const dataCentre = `dc-${index % 3}`;
    this.self = {
      id: `node-${String(index).padStart(2, '0')}`,
      incarnation: Date.now(),
      address: distributionNodeAddress(index),
      gossipPort: 7000,
      linkPort: 7001,
      callPort: 7002,
      region: index % 3 === 2 ? 'region-b' : 'region-a',
      dataCentre,
      service: index % 2 === 0 ? 'rounds' : 'settlement',
      backendVersion: 'v1',
    };
    const random = new SeededRandom(seed * 1000 + index);
    const logger: Logger = {
      log: (event, fields) => {
        if (event === logEvents.memberDead) this.evictions.push(String(fields?.memberId));
      },
    };
    const links = network.links(this.self.address, this.self.id);
    this.membership = createMembership({
      self: this.self,
      logger,
      random,
      links,
      socket: network.port(this.self.address),
      ownConfigVersion: () => this.distribution.configVersion(),
      spreadPolicy: mechanisms.spreadPolicy,
      suspicionPolicy: mechanisms.suspicionPolicy,
    });
    this.distribution = createDistribution({
      members: this.membership.view,
      registers: this.membership.registers,
      links,
      configurationStore: store,
      checker: fakeSectionChecker,
      random,
      logger,
      lastGossipAckAtMs: () => this.membership.lastGossipAckAtMs(),
      versionWitnesses: () => this.membership.versionWitnesses(),
      seeds,
      onSeedsRead: (read) =>
        this.membership.pingSeeds(read.filter(({ id }) => !this.membership.view.get(id))),
      snapshotValidator: mechanisms.snapshotValidator,
      onSnapshotActivated: (snapshot) => {
        this.versions.push(snapshot.configVersion);
        this.snapshots.push(snapshot);
        this.membership.announceConfigVersion();
        onActivated(snapshot);
      },
    });
    const systems = [...this.membership.systems, ...this.distribution.systems];
    this.#loop = new TickLoop(systems, (_, error) => {
      throw error;
    });
  }

  async start(seeds: readonly SeedAddress[]): Promise<void> {
    await this.membership.start();
    this.membership.join(seeds);
    this.distribution.start();
    this.#loop.start();
  }

  kill(): void {
    this.#loop.stop();
    this.distribution.stop();
    this.network.kill(this.self.address);
  }

  freeze(): void {
    this.#loop.stop();
    this.network.freeze(this.self.address);
  }

  thaw(): void {
    this.network.thaw(this.self.address);
    this.#loop.start();
    this.#loop.runOnce();
  }
}
