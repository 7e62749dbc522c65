import type { Logger } from '@sequoiafield/logger';
import type { RandomSource, System } from '@sequoiafield/tables';
import {
  MemberState,
  type DepartedServer,
  type DirectMessenger,
  type FleetQuery,
  type LinkRequester,
  type MemberAnnouncement,
  type MemberRow,
  type MemberView,
  type RegisterGossip,
} from '@sequoiafield/types';
import type { MembershipCounters } from './counters.js';
import type { DatagramSocket } from './datagram-socket.js';
import { TreeFleetQuery } from './tree-fleet-query.js';
import { Gossip } from './gossip.js';
import { latestDeparted } from './gossip-row.js';
import { Joiner, type SeedAddress } from './joiner.js';
import { MembersTable } from './members-table.js';
import { GossipMessenger } from './gossip-messenger.js';
import { GossipPeerSelector } from './gossip-peer-selector.js';
import type { SpreadPolicy, SuspicionPolicy } from './policies.js';
import { Prober } from './prober.js';
import { PushAndRepairPolicy } from './push-and-repair-policy.js';
import { QuorumSuspicionPolicy } from './quorum-suspicion-policy.js';
import { RegisterTable } from './register-table.js';
import { RowSync } from './row-sync.js';
import { SuspicionTracker } from './suspicion-tracker.js';
import { UdpSocket } from './udp-socket.js';
import { encodeRow, GossipMessageType } from './wire.js';

/** Options of `createMembership`. */
export interface MembershipOptions {
  /** Gossip port 0 lets the system choose one; the view contains the bound port after `start`. */
  readonly self: MemberAnnouncement;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly links: LinkRequester;
  /** Returns the active configuration version of this node; 0 if there is none. */
  readonly ownConfigVersion: () => number;
  /** Returns whether the node may be announced as alive; until then it is announced as joining. */
  readonly isReady?: () => boolean;
  /** Socket for gossip datagrams; a UDP socket by default. */
  readonly socket?: DatagramSocket;
  readonly suspicionPolicy?: SuspicionPolicy;
  readonly spreadPolicy?: SpreadPolicy;
}

/** Membership of one node: members, registers, direct messages and fleet queries. */
export interface Membership {
  readonly view: MemberView;
  readonly registers: RegisterGossip;
  readonly messenger: DirectMessenger;
  readonly fleetQuery: FleetQuery;
  readonly systems: readonly System[];
  readonly counters: MembershipCounters;
  /** Binds the socket; rejects with `MembershipError` if the address is in use. */
  start(): Promise<void>;
  stop(): void;
  /**
   * Joins through the seeds and retries with jitter. Resolves once a seed answered and the rows of a
   * peer are merged, immediately if there is no other seed, or after several failed attempts.
   */
  join(seeds: readonly SeedAddress[]): Promise<void>;
  /** Pings addresses of nodes that are not members yet, so that they learn this node. */
  pingSeeds(seeds: readonly SeedAddress[]): void;
  announceDraining(): void;
  /** Cancels a drain; the node is announced as alive again once it is ready. */
  announceDrainCancelled(): void;
  announceLeft(): void;
  /**
   * Announces the backend server beside this node; both texts are empty while none takes new work.
   * The other members keep the departed server for a later process of this node.
   */
  announceBackendServer(
    service: string,
    backendVersion: string,
    departedServer?: DepartedServer,
  ): void;
  /** Resolves once the announcements so far were handed to the network. */
  flush(): Promise<void>;
  /** Returns the latest backend server that left this node, also one that left a former process. */
  departedServer(): DepartedServer | undefined;
  /** Sends the active configuration version of this node to its witnesses. */
  announceConfigVersion(): void;
  /**
   * Returns the members that receive this node's configuration versions and that it can ask for its
   * last version after a restart.
   */
  versionWitnesses(): readonly MemberRow[];
  /** Returns the monotonic time of the last ack to a probe; minus infinity before the first. */
  lastGossipAckAtMs(): number;
}

/** Witnesses of each node; one of them is in another data centre if there is such a member. */
const witnessCount = 4;
const expiryIntervalMs = 10_000;

const createExpirySystem = (members: MembersTable): System => {
  let nextAtMs = 0;
  return {
    name: 'member-expiry',
    run: (tick) => {
      if (tick.nowMs < nextAtMs) return;
      nextAtMs = tick.nowMs + expiryIntervalMs;
      members.expire(tick.nowMs);
    },
  };
};

/**
 * Creates the membership of one node. Run its `systems` in the node's tick loop.
 *
 * @example
 * const membership = createMembership({ self, logger, random, links, ownConfigVersion: () => 0 });
 * await membership.start();
 * await membership.join(seeds);
 */
export const createMembership = (options: MembershipOptions): Membership => {
  const { logger, random, links } = options;
  const socket = options.socket ?? new UdpSocket();
  const suspicionPolicy = options.suspicionPolicy ?? new QuorumSuspicionPolicy();
  const spreadPolicy = options.spreadPolicy ?? new PushAndRepairPolicy();
  const self = {
    ...options.self,
    state: MemberState.Joining,
    configVersion: 0,
    stateChangedAtMs: 0,
    refutation: 0,
    announcedIncarnation: options.self.incarnation,
    serverRevision: 0,
    departedServer: undefined as DepartedServer | undefined,
  };
  const members = new MembersTable(self);
  const peerSelector = new GossipPeerSelector(members, random);
  const suspicions = new SuspicionTracker(members, suspicionPolicy, logger);
  let createdGossip: Gossip | undefined;
  let createdJoiner: Joiner | undefined;
  const registers = new RegisterTable(self.id, spreadPolicy, (entry) =>
    createdGossip?.spreadRegister(entry),
  );
  createdGossip = new Gossip({
    members,
    registers,
    suspicions,
    peerSelector,
    socket,
    spreadPolicy,
    ownConfigVersion: options.ownConfigVersion,
    logger,
    onUnknownMember: () => createdJoiner?.syncSoon(),
  });
  const gossip = createdGossip;
  const prober = new Prober(
    members,
    gossip,
    suspicions,
    peerSelector,
    suspicionPolicy,
    random,
    (peer) => createdJoiner?.syncWith(peer),
  );
  const rowSync = new RowSync(members, links, gossip.malformedItems);
  const isReady = options.isReady ?? (() => true);
  const joiner = new Joiner(members, gossip, prober, rowSync, peerSelector, random, isReady);
  createdJoiner = joiner;
  const announce = (state: MemberState): void => {
    members.setState(self, state);
    gossip.spreadState(gossip.ownRow(), state);
  };
  return {
    view: members,
    registers,
    messenger: new GossipMessenger(members, gossip),
    fleetQuery: new TreeFleetQuery(members, links, random),
    systems: [prober, suspicions, joiner, gossip, createExpirySystem(members)],
    counters: gossip.counters,
    start: async () => {
      self.gossipPort = await socket.bind(self.gossipPort, self.address);
    },
    stop: () => socket.close(),
    join: (seeds) => joiner.join(seeds),
    pingSeeds: (seeds) => joiner.pingSeeds(seeds),
    announceDraining: () => announce(MemberState.Draining),
    announceDrainCancelled: () => {
      if (self.state !== MemberState.Draining) return;
      // A higher refutation takes precedence over the drain, which otherwise ranks above alive.
      self.refutation += 1;
      members.setState(self, MemberState.Joining);
    },
    announceLeft: () => announce(MemberState.Left),
    announceBackendServer: (service, backendVersion, departedServer) => {
      const departed = latestDeparted(self.departedServer, departedServer);
      const isSameServer = self.service === service && self.backendVersion === backendVersion;
      if (isSameServer && departed === self.departedServer) return;
      const hasDeparted = departed !== self.departedServer;
      const serverRevision = self.serverRevision + 1;
      self.departedServer = departed;
      members.setBackendServer(self, { service, backendVersion, serverRevision });
      if (hasDeparted) gossip.spreadDeparture();
      else gossip.spreadRow(gossip.ownRow(), true);
    },
    flush: () => socket.flush(),
    departedServer: () => self.departedServer,
    announceConfigVersion: () => {
      for (const witness of peerSelector.pickVersionWitnesses(witnessCount)) {
        gossip.send(GossipMessageType.Push, witness, { items: [encodeRow(gossip.ownRow())] });
      }
    },
    versionWitnesses: () => peerSelector.pickVersionWitnesses(witnessCount),
    lastGossipAckAtMs: () => prober.lastAckAtMs,
  };
};
