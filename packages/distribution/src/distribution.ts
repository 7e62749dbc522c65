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
import { FreshnessTracker } from './freshness-tracker.js';
import { HeadFollower } from './head-follower.js';
import { HeadPoller } from './head-poller.js';
import { MinimumVersionResolver, type SeedLocation } from './minimum-version-resolver.js';
import { PeerExchange } from './peer-exchange.js';
import { PeerSelector } from './peer-selector.js';
import { SectionCache } from './section-cache.js';
import { SeedRecordRefresher } from './seed-record-refresher.js';
import { SnapshotFetcher, type FetchCounters } from './snapshot-fetcher.js';
import type { SnapshotValidator } from './snapshot-validator.js';
import { SnapshotHolder } from './snapshot-holder.js';
import type { ConfigurationStore, SectionChecker } from './sources.js';
import { StrictSnapshotValidator } from './strict-snapshot-validator.js';

/** What a node gives its distribution. */
export interface DistributionOptions {
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly links: LinkRequester;
  readonly configurationStore: ConfigurationStore;
  readonly checker: SectionChecker;
  /** Services of the settings; undefined takes all sections. */
  readonly wantedServices?: readonly string[];
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Monotonic time of the last gossip exchange, from `Membership.lastGossipAckAtMs`. */
  readonly lastGossipAckAtMs: () => number;
  /** From `Membership.versionWitnesses`: peers that are asked first for the join floor. */
  readonly versionWitnesses?: () => readonly MemberAnnouncement[];
  /** Seeds of the settings and of the store, as far as they are known. */
  readonly seeds: () => readonly SeedLocation[];
  /** Called after each swap, for example with `Membership.announceConfigVersion`. */
  readonly onSnapshotActivated?: (snapshot: Snapshot) => void;
  /** Called with the seeds of a data centre whenever they are read. */
  readonly onSeedsRead?: (seeds: readonly Seed[]) => void;
  /**
   * Smallest fleet size to poll for. A node that has not found its fleet yet would otherwise poll
   * as if it were alone, and a fleet that starts cold would overload the store.
   */
  readonly expectedFleetSize?: number;
  readonly snapshotValidator?: SnapshotValidator;
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
  minimumVersion(): number | undefined;
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
  const {
    members,
    registers,
    links,
    configurationStore: headSource,
    checker,
    random,
    logger,
  } = options;
  const expectedFleetSize = options.expectedFleetSize ?? 1;
  const guard = options.snapshotValidator ?? new StrictSnapshotValidator(checker);
  const wanted = options.wantedServices ? new Set(options.wantedServices) : undefined;
  const holder = new SnapshotHolder(guard);
  const cache = new SectionCache();
  const peers = new PeerSelector(members, random);
  const freshness = new FreshnessTracker(options.lastGossipAckAtMs);
  let follower: HeadFollower | undefined;
  const exchange = new PeerExchange(links, cache, {
    whenFetchEnded: async (timeoutMs) => follower?.whenFetchEnded(timeoutMs),
  });
  const fetcher = new SnapshotFetcher({
    members,
    random,
    cache,
    exchange,
    peers,
    holder,
    validator: guard,
    configurationStore: headSource,
    checker,
    wantedServices: () => wanted,
    expectedFleetSize,
  });
  follower = new HeadFollower({ members, registers, holder, cache, fetcher, random, logger });
  const heads = follower;
  const floor = new MinimumVersionResolver({
    members,
    links,
    peers,
    versionWitnesses: options.versionWitnesses ?? (() => []),
    seeds: options.seeds,
    ownVersion: () => holder.version,
  });
  const poller = new HeadPoller(headSource, members, random, logger, {
    expectedFleetSize,
    onHead: (head, startedAtMs) => {
      floor.setFromStore(head?.configVersion ?? 0);
      freshness.recordStoreRead(startedAtMs);
      if (head) heads.publish(head);
    },
    onFailure: () => floor.markStoreUnavailable(),
  });
  holder.onSwap((snapshot) => options.onSnapshotActivated?.(snapshot));
  const seeds = new SeedRecordRefresher(headSource, members, random, {
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
    requestSection: (service) => {
      if (!wanted || wanted.has(service)) return;
      wanted.add(service);
      heads.addWantedSections();
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
    minimumVersion: () => floor.value,
    isStale: () => freshness.isStale(),
    headReads: () => poller.reads,
  };
};
