import {
  BackendCallReceiver,
  createCallProxy,
  ReachedServerRetryPolicy,
  UndiciBackendClient,
  type CallProxy,
  type CallProtocol,
} from '@sequoiafield/calls';
import { NodeError } from '@sequoiafield/errors';
import { LocalServerTracker, ServerGate } from '@sequoiafield/gate';
import type { Logger } from '@sequoiafield/logger';
import { createMembership, type Membership } from '@sequoiafield/membership';
import { createMoves, type MoveRecordCodec, type Moves } from '@sequoiafield/moves';
import { createOrders, type Orders, type OrdersDecoder } from '@sequoiafield/orders';
import { MeshRouter } from '@sequoiafield/routing';
import type { RangeStore } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import { createTransport, type Transport } from '@sequoiafield/transport';
import {
  RefusalReason,
  type CallReceiver,
  type ClientLimits,
  type MemberAnnouncement,
} from '@sequoiafield/types';
import { CallLog } from './call-log.js';
import { SeedRegistrar } from './seed-registrar.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';
import type { MeshNodeSettings } from './settings.js';

/** Answers up to this size are read whole; those of the users' services are 0.4 to 30 KB. */
const wholeAnswerMaxBytes = 256 * 1024;
/** Connections to the own backend server; more than its slots are never used at once. */
const backendConnectionsMax = 32;
/** The own backend server is on the same machine; a silent one must not use up a call's time. */
const backendConnectTimeoutMs = 250;
/** A node that no peer answered and the store did not for this long may hold old orders. */
const staleMs = 3000;
/** A node that no peer answered for this long cannot serve; probes are one a second. */
const cutOffMs = 3500;

/** What the platform brings to a node. */
export interface PlatformDependencies {
  readonly store: RangeStore;
  readonly decoder: OrdersDecoder;
  readonly codec: MoveRecordCodec;
  readonly protocol: CallProtocol;
  readonly ordersPrefix: string;
  readonly moveRecordsPrefix: string;
}

/** What the parts of a node are built from. */
export interface MeshNodeComponentsOptions {
  readonly settings: MeshNodeSettings;
  readonly platform: PlatformDependencies;
  /** Start time of this process, or more if the clock went back. */
  readonly incarnation: number;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** The connected parts of a node. */
export interface MeshNodeComponents {
  readonly transport: Transport;
  readonly membership: Membership;
  readonly orders: Orders;
  readonly moves: Moves;
  readonly gate: ServerGate;
  readonly serverTracker: LocalServerTracker;
  readonly receiver: BackendCallReceiver;
  readonly calls: CallProxy;
  readonly heartbeatMonitor: HeartbeatMonitor;
  /** In the order in which the tick loop runs them. */
  readonly systems: readonly System[];
  /** Whether the orders are known and not doubted. */
  isServing(): boolean;
  /** Whether this node hears its peers, or has none. */
  isConnected(): boolean;
}

/** Parts that are built later and that earlier ones call back. */
interface LateParts {
  receiver?: CallReceiver;
  onOrdersChanged?: () => void;
  isServing?: () => boolean;
}

const announcementOf = ({
  settings,
  incarnation,
}: MeshNodeComponentsOptions): MemberAnnouncement => ({
  id: settings.id,
  incarnation,
  address: settings.address,
  gossipPort: settings.peerPort,
  linkPort: settings.peerPort,
  callPort: settings.ingress.port,
  region: settings.region,
  dataCentre: settings.dataCentre,
  service: '',
  backendVersion: '',
});

const createLinks = (
  { random, logger }: MeshNodeComponentsOptions,
  self: MemberAnnouncement,
  late: LateParts,
): Transport =>
  createTransport({
    self,
    random,
    logger,
    receiver: {
      receive(open, body, signal) {
        if (!late.receiver) throw new NodeError('The receiver is used before the node is built');
        return late.receiver.receive(open, body, signal);
      },
    },
  });

const createOrdersOf = (
  { platform, random, logger }: MeshNodeComponentsOptions,
  transport: Transport,
  membership: Membership,
  late: LateParts,
): Orders =>
  createOrders({
    store: platform.store,
    decoder: platform.decoder,
    ordersPrefix: platform.ordersPrefix,
    recordsPrefix: platform.moveRecordsPrefix,
    members: membership.view,
    registers: membership.registers,
    links: transport.requester,
    random,
    logger,
    onChanged: () => late.onOrdersChanged?.(),
  });

const createMovesOf = (
  { settings, platform, random, logger }: MeshNodeComponentsOptions,
  membership: Membership,
  orders: Orders,
  book: LocalServerTracker,
  gate: ServerGate,
): Moves =>
  createMoves({
    selfId: settings.id,
    orders: orders.view,
    members: membership.view,
    registers: membership.registers,
    messenger: membership.messenger,
    store: platform.store,
    codec: platform.codec,
    ownServer: () => {
      const server = book.current();
      return (
        server && {
          service: server.heartbeat.service,
          backendVersion: server.heartbeat.version,
          runningCalls: gate.load().runningCalls,
          isCold: monotonicNowMs() < server.coldUntilMs,
        }
      );
    },
    random,
    logger,
  });

const createReceiver = (
  { settings, platform, incarnation }: MeshNodeComponentsOptions,
  moves: Moves,
  book: LocalServerTracker,
  gate: ServerGate,
): BackendCallReceiver => {
  const { address, port } = settings.backendServer;
  return new BackendCallReceiver({
    self: {
      incarnation,
      get service() {
        return book.current()?.heartbeat.service ?? '';
      },
      get backendVersion() {
        return book.current()?.heartbeat.version ?? '';
      },
    },
    rollout: moves.view,
    admission: gate,
    evidence: moves.recorder,
    onBackendRefusal: (reason) => {
      if (reason === RefusalReason.ConnectFailed) gate.noteConnectionRefused();
    },
    backend: new UndiciBackendClient({
      origin: `http://${address}:${port}`,
      connectionsMax: backendConnectionsMax,
      protocol: platform.protocol,
      serverId: () => book.current()?.heartbeat.instanceId ?? '',
      bufferedAnswerMaxBytes: wholeAnswerMaxBytes,
      finishesNonIdempotent: true,
      watchesAllConnections: true,
      connectTimeoutMs: backendConnectTimeoutMs,
    }),
  });
};

/** Tells whether this node may answer for the configuration, and whether it reaches its peers. */
const createTouch = (
  membership: Membership,
  orders: Orders,
): Pick<MeshNodeComponents, 'isServing' | 'isConnected'> => {
  const peerAgeMs = (): number => monotonicNowMs() - membership.lastGossipAckAtMs();
  const isAlone = (): boolean => membership.view.fleetSize() <= 1;
  const storeAgeMs = (): number => monotonicNowMs() - orders.lastStoreAnswerAtMs();
  return {
    isServing: () =>
      orders.view.current().configuration !== undefined &&
      Math.min(peerAgeMs(), storeAgeMs()) < staleMs,
    isConnected: () => isAlone() || peerAgeMs() < cutOffMs,
  };
};

/**
 * Builds and connects the parts of a node; nothing listens or ticks yet.
 *
 * @example
 * const parts = createMeshNodeComponents({ settings, platform, incarnation, random, logger });
 */
export const createMeshNodeComponents = (
  options: MeshNodeComponentsOptions,
): MeshNodeComponents => {
  const { settings, platform, random, logger } = options;
  const late: LateParts = {};
  const self = announcementOf(options);
  const book = new LocalServerTracker(
    `${settings.backendServer.address}:${settings.backendServer.port}`,
  );
  const transport = createLinks(options, self, late);
  const membership = createMembership({
    self,
    logger,
    random,
    links: transport.requester,
    ownConfigVersion: () => 0,
    isReady: () => late.isServing?.() === true,
  });
  const orders = createOrdersOf(options, transport, membership, late);
  const touch = createTouch(membership, orders);
  late.isServing = () => orders.view.current().configuration !== undefined;
  const gate = new ServerGate({
    dataCentre: settings.dataCentre,
    serverTracker: book,
    orders: orders.view,
    heartbeatIntervalMs: settings.heartbeatIntervalMs,
  });
  const moves = createMovesOf(options, membership, orders, book, gate);
  const receiver = createReceiver(options, moves, book, gate);
  late.receiver = receiver;
  const router = new MeshRouter({
    selfId: settings.id,
    dataCentre: settings.dataCentre,
    orders: orders.view,
    members: membership.view,
    retryLimit: settings.retryLimit,
    random,
  });
  const callLog = new CallLog(logger);
  const limits = (): ClientLimits | undefined => orders.view.current().configuration?.limits;
  const calls = createCallProxy({
    self: { ...self, address: settings.ingress.address },
    snapshots: {
      isServing: touch.isServing,
      current: () => ({ configVersion: orders.view.current().configuration?.version ?? 0 }),
    },
    router,
    rollout: moves.view,
    evidence: moves.recorder,
    receiver,
    sender: transport.sender,
    sequence: transport.attemptSequence,
    random,
    logger,
    retryPolicy: new ReachedServerRetryPolicy(),
    protocol: platform.protocol,
    clientLimits: limits,
    callerService: () => book.current()?.heartbeat.service ?? settings.service,
    onEnded: (end) => callLog.add(end),
  });
  late.onOrdersChanged = () => {
    const now = limits();
    if (now) calls.applyLimits(now);
    gate.run({ nowMs: monotonicNowMs() });
  };
  const serverWatch = new HeartbeatMonitor(book, gate, membership, logger);
  const seeds = new SeedRegistrar({
    self: { id: self.id, address: self.address, gossipPort: self.gossipPort },
    membership,
    store: platform.store,
    random,
    logger,
  });
  const systems = [
    ...[...membership.systems, seeds, ...orders.systems, gate, serverWatch, ...moves.systems],
    ...[router, ...transport.systems, ...calls.systems, callLog],
  ];
  return {
    ...{
      transport,
      membership,
      orders,
      moves,
      gate,
      serverTracker: book,
      receiver,
      calls,
      heartbeatMonitor: serverWatch,
      systems,
    },
    ...touch,
  };
};
