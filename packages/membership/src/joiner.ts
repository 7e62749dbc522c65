import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MemberState, type Seed } from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import type { Gossip } from './gossip.js';
import type { GossipRow } from './gossip-row.js';
import type { MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { Prober } from './prober.js';
import type { RowSync } from './row-sync.js';

/** Random delay that spreads the joins of a mass restart. */
const joinJitterMs = 500;
const retryDelayMinMs = 500;
const retryDelayMaxMs = 10_000;
/** Mean interval of digest exchanges with a random peer once joined. */
const syncIntervalMs = 30_000;
/** Mean delay of the first exchange: rows that spread during the join may have missed this node. */
const firstSyncDelayMs = 3000;
/** Minimum interval between two exchanges caused by unknown members. */
const earlySyncMinIntervalMs = 3000;
/** Seeds pinged in one attempt, so that a single stopped seed does not cause a retry. */
const pingedSeedsMax = 3;
/** Interval at which a node that knows no other pings its seeds; they may start at the same moment. */
const alonePingIntervalMs = 200;
/** Time for a pinged seed to answer with its row, which names its link port. */
const seedAnswerTimeoutMs = 300;
/** Interval at which a joining node checks for the answer of a seed; a round trip takes 2 ms or more. */
const seedAnswerPollMs = 10;
/** Failed join attempts after which the node assumes that it is the first of its fleet. */
const joinAttemptsMax = 4;
/** Peers among which a joining node divides its pull of the rows. */
const pullPeersMax = 3;

/** Address and port at which a seed receives gossip. */
export type SeedAddress = Pick<Seed, 'address' | 'gossipPort'>;

/**
 * Joins through seeds with jitter and retries, then synchronizes the rows with random peers.
 *
 * @example
 * await joiner.join(seeds);
 */
export class Joiner implements System {
  readonly name = 'joiner';

  #seeds: readonly SeedAddress[] = [];

  #isJoined = false;

  #isPulling = false;

  #nextPullAtMs = Number.POSITIVE_INFINITY;

  #retryDelayMs = retryDelayMinMs;

  #isFirstSync = true;

  /** Member to exchange rows with next; a random one if it is undefined. */
  #nextPeer: GossipRow | undefined;

  /** Time from one exchange to the next with a member that knows more. */
  #repairIntervalMs = earlySyncMinIntervalMs;

  #failedAttempts = 0;

  #pullStartedAtMs = Number.NEGATIVE_INFINITY;

  #joinResolvers: (() => void)[] = [];

  #nextAlonePingAtMs = 0;

  constructor(
    private readonly members: MembersTable,
    private readonly gossip: Gossip,
    private readonly prober: Prober,
    private readonly rowSync: RowSync,
    private readonly peerSelector: GossipPeerSelector,
    private readonly random: RandomSource,
    private readonly isReady: () => boolean,
  ) {}

  /**
   * Resolves once the rows of a peer are merged, immediately if there is no other seed, or after
   * several failed attempts. A node without peers continues to ping its seeds.
   */
  join(seeds: readonly SeedAddress[]): Promise<void> {
    const { self } = this.members;
    this.#seeds = seeds.filter(
      (seed) => seed.address !== self.address || seed.gossipPort !== self.gossipPort,
    );
    this.#nextPullAtMs = 0;
    if (this.#seeds.length === 0) {
      this.#isJoined = true;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#joinResolvers.push(resolve);
    });
  }

  /** Schedules an early exchange of rows after a rumour about a member whose row is missing. */
  syncSoon(): void {
    if (!this.#isJoined) return;
    this.#nextPullAtMs = Math.min(
      this.#nextPullAtMs,
      this.#pullStartedAtMs + earlySyncMinIntervalMs,
    );
  }

  /**
   * Schedules an early exchange with a member that knows more. The interval grows while exchanges
   * bring no row, such as when a row that expired here is still kept there.
   */
  syncWith(peer: GossipRow): void {
    if (!this.#isJoined) return;
    this.#nextPeer = peer;
    this.#nextPullAtMs = Math.min(
      this.#nextPullAtMs,
      this.#pullStartedAtMs + this.#repairIntervalMs,
    );
  }

  run(tick: Tick): void {
    this.#announceReady();
    this.#pingWhileAlone(tick.nowMs);
    // A peer that knows the former process may probe this one before the store returns any seed.
    const isProbed =
      this.#nextPullAtMs === Number.POSITIVE_INFINITY && this.members.fleetSize() > 1;
    if (isProbed) this.#nextPullAtMs = tick.nowMs;
    if (this.#nextPullAtMs === 0)
      this.#nextPullAtMs = tick.nowMs + this.random.next() * joinJitterMs;
    if (this.#isPulling || tick.nowMs < this.#nextPullAtMs) return;
    this.#isPulling = true;
    this.#pullStartedAtMs = tick.nowMs;
    this.#pull()
      .then(
        (mergedRows) => this.#onPullSucceeded(mergedRows),
        () => this.#onPullFailed(),
      )
      .finally(() => {
        this.#isPulling = false;
        this.#nextPullAtMs = tick.nowMs + this.#meanDelayMs() * (0.5 + this.random.next());
      });
  }

  #pingWhileAlone(nowMs: number): void {
    if (this.#seeds.length === 0 || this.members.fleetSize() > 1) return;
    if (nowMs < this.#nextAlonePingAtMs) return;
    this.#nextAlonePingAtMs = nowMs + alonePingIntervalMs;
    const start = this.random.nextInt(this.#seeds.length);
    for (let offset = 0; offset < Math.min(pingedSeedsMax, this.#seeds.length); offset++) {
      const seed = this.#seeds[(start + offset) % this.#seeds.length];
      if (seed) this.prober.pingAddress(seed);
    }
  }

  #meanDelayMs(): number {
    if (!this.#isJoined) return this.#retryDelayMs;
    if (!this.#isFirstSync) return syncIntervalMs;
    this.#isFirstSync = false;
    return firstSyncDelayMs;
  }

  #announceReady(): void {
    const { self } = this.members;
    if (!this.#isJoined || self.state !== MemberState.Joining || !this.isReady()) return;
    this.members.setState(self, MemberState.Alive);
    this.gossip.spreadRow(this.gossip.ownRow(), true);
  }

  async #pull(): Promise<number> {
    const hasNoPeers = this.members.fleetSize() <= 1;
    if (hasNoPeers) await this.#pingRandomSeeds();
    const nextPeer = this.#nextPeer;
    this.#nextPeer = undefined;
    const peers = nextPeer
      ? [nextPeer]
      : this.peerSelector.pick(this.#isJoined ? 1 : pullPeersMax, false);
    if (peers.length === 0 && this.#seeds.length > 0)
      throw createMembershipError('No seed answered the ping of this node');
    return this.rowSync.pullFrom(peers);
  }

  async #pingRandomSeeds(): Promise<void> {
    const start = this.random.nextInt(this.#seeds.length);
    for (let offset = 0; offset < Math.min(pingedSeedsMax, this.#seeds.length); offset++) {
      const seed = this.#seeds[(start + offset) % this.#seeds.length];
      if (seed) this.prober.pingAddress(seed);
    }
    for (let waitedMs = 0; waitedMs < seedAnswerTimeoutMs; waitedMs += seedAnswerPollMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, seedAnswerPollMs);
      });
      if (this.members.fleetSize() > 1) return;
    }
  }

  /** Pings nodes learned from another source, so that fleets which formed separately merge. */
  pingSeeds(seeds: readonly SeedAddress[]): void {
    for (const seed of seeds) this.prober.pingAddress(seed);
    this.syncSoon();
  }

  #onPullFailed(): void {
    this.#retryDelayMs = Math.min(retryDelayMaxMs, this.#retryDelayMs * 2);
    this.#failedAttempts += 1;
    if (!this.#isJoined && this.#failedAttempts >= joinAttemptsMax) this.#onPullSucceeded(0);
  }

  #onPullSucceeded(mergedRows: number): void {
    this.#repairIntervalMs =
      mergedRows > 0
        ? earlySyncMinIntervalMs
        : Math.min(syncIntervalMs, this.#repairIntervalMs * 2);
    if (!this.#isJoined) this.gossip.spreadRow(this.gossip.ownRow(), true);
    this.#isJoined = true;
    this.#retryDelayMs = retryDelayMinMs;
    for (const resolve of this.#joinResolvers.splice(0)) resolve();
  }
}
