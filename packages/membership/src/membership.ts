import type { Logger } from '@sequoiafield/logger';
import type { RandomSource, System } from '@sequoiafield/tables';
import {
  MemberState,
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

/** What a node gives its membership. */
export interface MembershipOptions {
  /** Gossip port 0 lets the system choose; the view shows the bound port after `start`. */
  readonly self: MemberAnnouncement;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly links: LinkRequester;
  /** Configuration version in force on this node; 0 if none. */
  readonly ownConfigVersion: () => number;
  /** Whether the node may be announced as alive; until then it is announced as joining. */
  readonly isReady?: () => boolean;
  /** UDP by default. */
  readonly socket?: DatagramSocket;
  readonly suspicionPolicy?: SuspicionPolicy;
  readonly spreadPolicy?: SpreadPolicy;
}

/** Members, registers and messages of one node. */
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
  /** Resolves once a seed answered and the rows of a peer are in; retries with jitter until then. */
  join(seeds: readonly SeedAddress[]): Promise<void>;
  /** Makes itself known to addresses whose nodes this node does not know yet. */
  pingSeeds(seeds: readonly SeedAddress[]): void;
  announceDraining(): void;
  /** Takes a drain back; the node is announced as alive again once it is ready. */
  announceDrainCancelled(): void;
  announceLeft(): void;
  /** Announces the backend server beside this node; empty texts while none takes new work. */
  announceBackendServer(service: string, backendVersion: string): void;
  /** Tells the witnesses of this node which configuration version it has in force. */
  announceConfigVersion(): void;
  /** Members that were told this node's configuration versions and can be asked after a restart. */
  versionWitnesses(): readonly MemberRow[];
  /** Monotonic time of the last answered probe; minus infinity before the first. */
  lastGossipAckAtMs(): number;
}

/** Witnesses of each node; one of them is in another data centre. */
const witnessCount = 4;
const expiryIntervalMs = 10_000;

const expirySystem = (members: MembersTable): System => {
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
  const port = options.socket ?? new UdpSocket();
  const suspicionPolicy = options.suspicionPolicy ?? new QuorumSuspicionPolicy();
  const policy = options.spreadPolicy ?? new PushAndRepairPolicy();
  const self = {
    ...options.self,
    state: MemberState.Joining,
    configVersion: 0,
    stateChangedAtMs: 0,
    refutation: 0,
    announcedIncarnation: options.self.incarnation,
    serverRevision: 0,
  };
  const members = new MembersTable(self);
  const picker = new GossipPeerSelector(members, random);
  const suspicions = new SuspicionTracker(members, suspicionPolicy, logger);
  let gossip: Gossip | undefined;
  let joiner: Joiner | undefined;
  const registers = new RegisterTable(self.id, policy, (entry) => gossip?.spreadRegister(entry));
  gossip = new Gossip({
    members,
    registers,
    suspicions,
    picker,
    socket: port,
    policy,
    ownConfigVersion: options.ownConfigVersion,
    onUnknownMember: () => joiner?.syncSoon(),
  });
  const core = gossip;
  const prober = new Prober(members, core, suspicions, picker, suspicionPolicy, random);
  const sync = new RowSync(members, links);
  const isReady = options.isReady ?? (() => true);
  const joins = new Joiner(members, core, prober, sync, picker, random, isReady);
  joiner = joins;
  const announce = (state: MemberState): void => {
    members.setState(self, state);
    core.spreadState(core.ownRow(), state);
  };
  return {
    view: members,
    registers,
    messenger: new GossipMessenger(members, core),
    fleetQuery: new TreeFleetQuery(members, links, random),
    systems: [prober, suspicions, joins, core, expirySystem(members)],
    counters: core.counters,
    start: async () => {
      self.gossipPort = await port.bind(self.gossipPort, self.address);
    },
    stop: () => port.close(),
    join: (seeds) => joins.join(seeds),
    pingSeeds: (seeds) => joins.pingSeeds(seeds),
    announceDraining: () => announce(MemberState.Draining),
    announceDrainCancelled: () => {
      if (self.state !== MemberState.Draining) return;
      // A higher refutation wins over the drain, which otherwise ranks above alive.
      self.refutation += 1;
      members.setState(self, MemberState.Joining);
    },
    announceLeft: () => announce(MemberState.Left),
    announceBackendServer: (service, backendVersion) => {
      if (self.service === service && self.backendVersion === backendVersion) return;
      const serverRevision = self.serverRevision + 1;
      members.setBackendServer(self, { service, backendVersion, serverRevision });
      core.spreadRow(core.ownRow(), true);
    },
    announceConfigVersion: () => {
      for (const witness of picker.pickVersionWitnesses(witnessCount)) {
        core.send(GossipMessageType.Push, witness, { items: [encodeRow(core.ownRow())] });
      }
    },
    versionWitnesses: () => picker.pickVersionWitnesses(witnessCount),
    lastGossipAckAtMs: () => prober.lastAckAtMs,
  };
};
