import type { Logger } from '@sequoiafield/logger';
import type { RandomSource, System } from '@sequoiafield/tables';
import type {
  LinkRequester,
  MemberAnnouncement,
  MemberView,
  RegisterGossip,
  Seed,
  Snapshot,
  SnapshotView,
} from '@sequoiafield/types';
import { Freshness } from './freshness.js';
import { HeadFollower } from './head-follower.js';
import { HeadPoller } from './head-poller.js';
import { JoinFloor, type FloorSeed } from './join-floor.js';
import { PeerExchange } from './peer-exchange.js';
import { Peers } from './peers.js';
import { SectionCache } from './section-cache.js';
import { SeedsKeeper } from './seeds-keeper.js';
import { SnapshotFetcher, type FetchCounters } from './snapshot-fetcher.js';
import type { SnapshotGuard } from './snapshot-guard.js';
import { SnapshotHolder } from './snapshot-holder.js';
import type { HeadSource, SectionChecker } from './sources.js';
import { StrictGuard } from './strict-guard.js';

/** What a node gives its distribution. */
export interface DistributionOptions {
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly links: LinkRequester;
  readonly headSource: HeadSource;
  readonly checker: SectionChecker;
  /** Services of the settings; undefined takes all sections. */
  readonly wantedServices?: readonly string[];
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Monotonic time of the last gossip exchange, from `Membership.lastRefreshedAtMs`. */
  readonly lastRefreshedAtMs: () => number;
  /** From `Membership.witnesses`: peers that are asked first for the join floor. */
  readonly witnesses?: () => readonly MemberAnnouncement[];
  /** Seeds of the settings and of the store, as far as they are known. */
  readonly seeds: () => readonly FloorSeed[];
  /** Called after each swap, for example with `Membership.announceConfigVersion`. */
  readonly onInForce?: (snapshot: Snapshot) => void;
  /** Called with the seeds of a data centre whenever they are read. */
  readonly onSeedsRead?: (seeds: readonly Seed[]) => void;
  /**
   * Smallest fleet size to poll for. A node that has not found its fleet yet would otherwise poll
   * as if it were alone, and a fleet that starts cold would overload the store.
   */
  readonly expectedFleetSize?: number;
  readonly guard?: SnapshotGuard;
}

/** Configuration in force on one node. */
export interface Distribution {
  readonly view: SnapshotView;
  readonly systems: readonly System[];
  readonly counters: FetchCounters;
  start(): void;
  stop(): void;
  /** Version in force; 0 before the first. */
  configVersion(): number;
  /** Minimum version that this node may serve; undefined until it is known. */
  floor(): number | undefined;
  isStale(): boolean;
  /** Head reads so far. */
  headReads(): number;
}

/**
 * Creates the distribution of one node. Run its `systems` in the node's tick loop, after those of
 * the membership.
 *
 * @example
 * const distribution = createDistribution({ members: membership.view, ...rest });
 * distribution.start();
 * if (distribution.view.isServing()) match(distribution.view.current());
 */
export const createDistribution = (options: DistributionOptions): Distribution => {
  const { members, registers, links, headSource, checker, random, logger } = options;
  const expectedFleetSize = options.expectedFleetSize ?? 1;
  const guard = options.guard ?? new StrictGuard(checker);
  const wanted = options.wantedServices ? new Set(options.wantedServices) : undefined;
  const holder = new SnapshotHolder(guard);
  const cache = new SectionCache();
  const peers = new Peers(members, random);
  const freshness = new Freshness(options.lastRefreshedAtMs);
  let follower: HeadFollower | undefined;
  const exchange = new PeerExchange(links, cache, {
    ended: async (timeoutMs) => follower?.ended(timeoutMs),
  });
  const fetcher = new SnapshotFetcher({
    members,
    random,
    cache,
    exchange,
    peers,
    holder,
    guard,
    headSource,
    checker,
    wanted: () => wanted,
    expectedFleetSize,
  });
  follower = new HeadFollower({ members, registers, holder, cache, fetcher, random, logger });
  const heads = follower;
  const floor = new JoinFloor({
    members,
    links,
    peers,
    witnesses: options.witnesses ?? (() => []),
    seeds: options.seeds,
    ownVersion: () => holder.version,
  });
  const poller = new HeadPoller(headSource, members, random, logger, {
    expectedFleetSize,
    onHead: (head, startedAtMs) => {
      floor.setFromStore(head?.configVersion ?? 0);
      freshness.refreshedByRead(startedAtMs);
      if (head) heads.publish(head);
    },
    onFailure: () => floor.storeFailed(),
  });
  holder.onSwap((snapshot) => options.onInForce?.(snapshot));
  const seeds = new SeedsKeeper(headSource, members, random, {
    expectedFleetSize,
    dataCentres: () => holder.current?.mesh.dataCentres.map(({ name }) => name) ?? [],
    onSeedsRead: (read) => options.onSeedsRead?.(read),
  });
  const view: SnapshotView = {
    current: () => holder.current,
    isServing: () =>
      holder.current !== undefined &&
      floor.value !== undefined &&
      holder.version >= floor.value &&
      !freshness.isStale(),
    want: (service) => {
      if (!wanted || wanted.has(service)) return;
      wanted.add(service);
      heads.extend();
    },
  };
  return {
    view,
    systems: [freshness, poller, floor, seeds],
    counters: fetcher.counters,
    start: () => poller.start(),
    stop: () => {
      poller.stop();
      heads.stop();
    },
    configVersion: () => holder.version,
    floor: () => floor.value,
    isStale: () => freshness.isStale(),
    headReads: () => poller.reads,
  };
};
