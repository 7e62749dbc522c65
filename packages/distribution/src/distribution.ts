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
import type { ConfigurationStore, SectionChecker } from './configuration-store.js';
import { StrictSnapshotValidator } from './strict-snapshot-validator.js';

/** Dependencies and settings of the distribution of one node. */
export interface DistributionOptions {
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly links: LinkRequester;
  readonly configurationStore: ConfigurationStore;
  readonly checker: SectionChecker;
  /** Services named in the settings; undefined for all sections. */
  readonly wantedServices?: readonly string[];
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Monotonic time in ms of the last gossip exchange, from `Membership.lastGossipAckAtMs`. */
  readonly lastGossipAckAtMs: () => number;
  /** Peers that are asked first for the minimum version, from `Membership.versionWitnesses`. */
  readonly versionWitnesses?: () => readonly MemberAnnouncement[];
  /** Known seeds from the settings and the store. */
  readonly seeds: () => readonly SeedLocation[];
  /** Called after each swap, for example with `Membership.announceConfigVersion`. */
  readonly onSnapshotActivated?: (snapshot: Snapshot) => void;
  /** Called with the seeds of a data centre after each read of them. */
  readonly onSeedsRead?: (seeds: readonly Seed[]) => void;
  /**
   * Minimum fleet size for which the poll rate is computed. A node that has not found its fleet yet
   * would otherwise poll as if it were alone, and a cold start of the fleet would overload the store.
   */
  readonly expectedFleetSize?: number;
  readonly snapshotValidator?: SnapshotValidator;
}

/** Active configuration of one node and the systems that keep it up to date. */
export interface Distribution {
  readonly view: SnapshotView;
  readonly systems: readonly System[];
  readonly counters: FetchCounters;
  start(): void;
  stop(): void;
  /** Active version; 0 before the first. */
  configVersion(): number;
  /** Minimum version that this node may serve; undefined while it is unknown. */
  minimumVersion(): number | undefined;
  isStale(): boolean;
  /** Whether this node knows of a newer version than the active one. */
  isOutdated(): boolean;
  /** Number of head reads so far. */
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
  const { members, registers, links, configurationStore, checker, random, logger } = options;
  const expectedFleetSize = options.expectedFleetSize ?? 1;
  const validator = options.snapshotValidator ?? new StrictSnapshotValidator(checker);
  const wanted = options.wantedServices ? new Set(options.wantedServices) : undefined;
  const holder = new SnapshotHolder(validator);
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
    validator,
    configurationStore,
    checker,
    wantedServices: () => wanted,
    expectedFleetSize,
  });
  follower = new HeadFollower({ members, registers, holder, cache, fetcher, random, logger });
  const headFollower = follower;
  const minimumVersionResolver = new MinimumVersionResolver({
    members,
    links,
    peers,
    versionWitnesses: options.versionWitnesses ?? (() => []),
    seeds: options.seeds,
    ownVersion: () => holder.version,
  });
  const poller = new HeadPoller(configurationStore, members, random, logger, {
    expectedFleetSize,
    onHead: (head, startedAtMs) => {
      minimumVersionResolver.setFromStore(head?.configVersion ?? 0);
      freshness.recordStoreRead(startedAtMs);
      if (head) headFollower.publish(head);
    },
    onFailure: () => minimumVersionResolver.markStoreUnavailable(),
  });
  holder.onSwap((snapshot) => options.onSnapshotActivated?.(snapshot));
  const seedRecordRefresher = new SeedRecordRefresher(configurationStore, members, random, {
    expectedFleetSize,
    dataCentres: () => holder.current?.mesh.dataCentres.map(({ name }) => name) ?? [],
    onSeedsRead: (read) => options.onSeedsRead?.(read),
  });
  const view: SnapshotView = {
    current: () => holder.current,
    isServing: () =>
      holder.current !== undefined &&
      minimumVersionResolver.value !== undefined &&
      holder.version >= minimumVersionResolver.value &&
      !freshness.isStale(),
    requestSection: (service) => {
      if (!wanted || wanted.has(service)) return;
      wanted.add(service);
      headFollower.addWantedSections();
    },
  };
  return {
    view,
    systems: [freshness, poller, minimumVersionResolver, seedRecordRefresher],
    counters: fetcher.counters,
    start: () => poller.start(),
    stop: () => {
      poller.stop();
      headFollower.stop();
    },
    configVersion: () => holder.version,
    minimumVersion: () => minimumVersionResolver.value,
    isStale: () => freshness.isStale(),
    isOutdated: () => (headFollower.head?.configVersion ?? 0) > holder.version,
    headReads: () => poller.reads,
  };
};
