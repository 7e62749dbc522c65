import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MemberState, type Seed } from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import type { Gossip } from './gossip.js';
import type { MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { Prober } from './prober.js';
import type { RowSync } from './row-sync.js';

/** Spreads the joins of a mass restart. */
const joinJitterMs = 500;
const retryMinMs = 500;
const retryMaxMs = 10_000;
/** Mean interval of digest exchanges with a random peer once joined. */
const syncIntervalMs = 30_000;
/** Rows that started to travel while this node joined may have missed it. */
const firstSyncMs = 3000;
/** Shortest time between two exchanges that unknown members cause. */
const hastenedSyncMs = 3000;
/** Seeds that are greeted at a time, so that one that is gone costs no retry. */
const greetedSeeds = 3;
/** Time for a greeted seed to answer with its row, which names its link port. */
const greetAnswerMs = 300;
/** Interval at which a joining node looks for that answer; a way there and back takes 2 ms or more. */
const greetPollMs = 10;
/** After so many greetings without an answer the node counts as the first of its fleet. */
const greetingsMax = 4;
/** Peers that a joining node shares its pull between. */
const pulledPeers = 3;

/** Where a seed listens for gossip. */
export type SeedAddress = Pick<Seed, 'address' | 'gossipPort'>;

/**
 * Joins through seeds with jitter and retries, then keeps the rows in step with random peers.
 *
 * @example
 * await joiner.join(seeds);
 */
export class Joiner implements System {
  readonly name = 'joiner';

  #seeds: readonly SeedAddress[] = [];

  #isJoined = false;

  #isBusy = false;

  #nextAtMs = Number.POSITIVE_INFINITY;

  #retryMs = retryMinMs;

  #isFirstSync = true;

  #unanswered = 0;

  #startedAtMs = Number.NEGATIVE_INFINITY;

  #waiting: (() => void)[] = [];

  constructor(
    private readonly members: MembersTable,
    private readonly gossip: Gossip,
    private readonly prober: Prober,
    private readonly sync: RowSync,
    private readonly picker: GossipPeerSelector,
    private readonly random: RandomSource,
    private readonly isReady: () => boolean,
  ) {}

  /**
   * Resolves once the rows of one peer are in, at once where no other seed exists, or when no seed
   * answered several greetings; a lone node goes on greeting its seeds.
   */
  join(seeds: readonly SeedAddress[]): Promise<void> {
    const { self } = this.members;
    this.#seeds = seeds.filter(
      (seed) => seed.address !== self.address || seed.gossipPort !== self.gossipPort,
    );
    this.#nextAtMs = 0;
    if (this.#seeds.length === 0) {
      this.#isJoined = true;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Exchanges rows soon, since a rumour named a member whose row is not held. */
  syncSoon(): void {
    if (!this.#isJoined) return;
    this.#nextAtMs = Math.min(this.#nextAtMs, this.#startedAtMs + hastenedSyncMs);
  }

  run(tick: Tick): void {
    this.#announceReady();
    // A peer that knew the former process may probe this one before the store names any seed.
    const isProbed = this.#nextAtMs === Number.POSITIVE_INFINITY && this.members.fleetSize() > 1;
    if (isProbed) this.#nextAtMs = tick.nowMs;
    if (this.#nextAtMs === 0) this.#nextAtMs = tick.nowMs + this.random.next() * joinJitterMs;
    if (this.#isBusy || tick.nowMs < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#startedAtMs = tick.nowMs;
    this.#pull()
      .then(
        () => this.#onPulled(),
        () => this.#onFailed(),
      )
      .finally(() => {
        this.#isBusy = false;
        this.#nextAtMs = tick.nowMs + this.#meanDelayMs() * (0.5 + this.random.next());
      });
  }

  #meanDelayMs(): number {
    if (!this.#isJoined) return this.#retryMs;
    if (!this.#isFirstSync) return syncIntervalMs;
    this.#isFirstSync = false;
    return firstSyncMs;
  }

  #announceReady(): void {
    const { self } = this.members;
    if (!this.#isJoined || self.state !== MemberState.Joining || !this.isReady()) return;
    this.members.setState(self, MemberState.Alive);
    this.gossip.spreadRow(this.gossip.ownRow(), true);
  }

  async #pull(): Promise<void> {
    const isAlone = this.members.fleetSize() <= 1;
    if (isAlone) await this.#greetSeeds();
    const peers = this.picker.pick(this.#isJoined ? 1 : pulledPeers, false);
    if (peers.length === 0 && this.#seeds.length > 0)
      throw createMembershipError('No seed answered');
    await this.sync.pullFrom(peers);
  }

  async #greetSeeds(): Promise<void> {
    const start = this.random.nextInt(this.#seeds.length);
    for (let offset = 0; offset < Math.min(greetedSeeds, this.#seeds.length); offset++) {
      const seed = this.#seeds[(start + offset) % this.#seeds.length];
      if (seed) this.prober.pingAddress(seed);
    }
    for (let waitedMs = 0; waitedMs < greetAnswerMs; waitedMs += greetPollMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, greetPollMs);
      });
      if (this.members.fleetSize() > 1) return;
    }
  }

  /** Greets nodes that another source named, so that fleets which formed apart merge. */
  pingSeeds(seeds: readonly SeedAddress[]): void {
    for (const seed of seeds) this.prober.pingAddress(seed);
    this.syncSoon();
  }

  #onFailed(): void {
    this.#retryMs = Math.min(retryMaxMs, this.#retryMs * 2);
    this.#unanswered += 1;
    if (!this.#isJoined && this.#unanswered >= greetingsMax) this.#onPulled();
  }

  #onPulled(): void {
    if (!this.#isJoined) this.gossip.spreadRow(this.gossip.ownRow(), true);
    this.#isJoined = true;
    this.#retryMs = retryMinMs;
    for (const resolve of this.#waiting.splice(0)) resolve();
  }
}
