import {
  BackendCallReceiver,
  createBodyMemory,
  createCallProxy,
  PortChecker,
  ReachedServerRetryPolicy,
  UndiciBackendClient,
  type BodyMemory,
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
import type { Usage, UsageSink } from '@sequoiafield/usage';
import { CountedRangeStore, type LeaseStore } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import { createTransport, type Transport } from '@sequoiafield/transport';
import {
  RefusalReason,
  type CallReceiver,
  type ClientLimits,
  type MemberAnnouncement,
} from '@sequoiafield/types';
import { createAvailability } from './availability.js';
import { BodyMemoryLog } from './body-memory-log.js';
import { CallLog } from './call-log.js';
import { createKeyCheck, type NodeKeyCheck } from './create-key-check.js';
import { createMemberAnnouncement } from './member-announcement.js';
import { createNodeUsage } from './node-usage.js';
import { SeedRegistrar } from './seed-registrar.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';
import type { MeshNodeSettings } from './settings.js';

/**
 * Answers up to this size are buffered completely; those of the users' services have 0.4 to 30 KB.
 */
const bufferedAnswerMaxBytes = 256 * 1024;
/** Connections to the own backend server; no more than its slots are in use at once. */
const backendConnectionsMax = 32;
/**
 * Short because the server is on the same machine, and a silent one must not use up a call's
 * deadline.
 */
const backendConnectTimeoutMs = 250;
/** Platform-specific dependencies of a node. */
export interface PlatformDependencies {
  readonly store: LeaseStore;
  readonly decoder: OrdersDecoder;
  readonly codec: MoveRecordCodec;
  readonly protocol: CallProtocol;
  readonly ordersPrefix: string;
  readonly moveRecordsPrefix: string;
  /** Needed if the settings have usage reporting. */
  readonly usageSink?: UsageSink;
}

/** Options of `createMeshNodeComponents`. */
export interface MeshNodeComponentsOptions {
  readonly settings: MeshNodeSettings;
  readonly platform: PlatformDependencies;
  /** Start time of this process, or a higher value if the clock was set back. */
  readonly incarnation: number;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** The connected components of a node. */
export interface MeshNodeComponents {
  readonly store: CountedRangeStore;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly orders: Orders;
  readonly moves: Moves;
  readonly gate: ServerGate;
  readonly serverTracker: LocalServerTracker;
  readonly receiver: BackendCallReceiver;
  readonly calls: CallProxy;
  readonly bodyMemory: BodyMemory;
  readonly heartbeatMonitor: HeartbeatMonitor;
  readonly refusedKeys: NodeKeyCheck['refusedKeys'];
  /** Undefined if usage is not reported. */
  readonly usage: Usage | undefined;
  /** In the order in which the tick loop runs them. */
  readonly systems: readonly System[];
  /** Whether the configuration is known and a peer or the store has answered recently. */
  isServing(): boolean;
  /** Whether peers answer this node, or it has none. */
  isConnected(): boolean;
}

/** Components that are created later and that earlier ones call. */
interface LateComponents {
  receiver?: CallReceiver;
  onOrdersChanged?: () => void;
  isServing?: () => boolean;
}

const createNodeTransport = (
  { random, logger }: MeshNodeComponentsOptions,
  self: MemberAnnouncement,
  bodyMemory: BodyMemory,
  late: LateComponents,
): Transport =>
  createTransport({
    mechanisms: { bodyBudget: bodyMemory.node },
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

const createNodeOrders = (
  { platform, random, logger }: MeshNodeComponentsOptions,
  transport: Transport,
  membership: Membership,
  late: LateComponents,
): Orders =>
  createOrders({
    store: platform.store,
    decoder: platform.decoder,
    ordersPrefix: platform.ordersPrefix,
    recordsPrefix: platform.moveRecordsPrefix,
    members: membership.view,
    registers: membership.registers,
    messenger: membership.messenger,
    links: transport.requester,
    random,
    logger,
    onChanged: () => late.onOrdersChanged?.(),
  });

const createNodeMoves = (
  { settings, platform, random, logger }: MeshNodeComponentsOptions,
  membership: Membership,
  orders: Orders,
  serverTracker: LocalServerTracker,
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
      const server = serverTracker.current();
      return (
        server && {
          service: server.heartbeat.service,
          backendVersion: server.heartbeat.version,
          runningCalls: gate.load().runningCalls,
          isCold: gate.isCold(),
        }
      );
    },
    random,
    logger,
  });

const createNodeReceiver = (
  { settings, platform, incarnation }: MeshNodeComponentsOptions,
  moves: Moves,
  serverTracker: LocalServerTracker,
  gate: ServerGate,
  usage: Usage | undefined,
  bodyMemory: BodyMemory,
): BackendCallReceiver => {
  const { address, port } = settings.backendServer;
  const portChecker = new PortChecker({ address, port }, () => gate.recordServerEnded());
  return new BackendCallReceiver({
    self: {
      incarnation,
      get service() {
        return serverTracker.current()?.heartbeat.service ?? '';
      },
      get backendVersion() {
        return serverTracker.current()?.heartbeat.version ?? '';
      },
    },
    rollout: moves.view,
    bodyMemory,
    admission: gate,
    evidence: moves.recorder,
    usage: usage?.counter,
    onBackendRefusal: (reason) => {
      if (reason === RefusalReason.ConnectFailed) gate.recordConnectFailed();
    },
    backend: new UndiciBackendClient({
      origin: `http://${address}:${port}`,
      connectionsMax: backendConnectionsMax,
      protocol: platform.protocol,
      serverId: () => serverTracker.current()?.heartbeat.instanceId ?? '',
      bufferedAnswerMaxBytes,
      bodyMemory,
      completesCancelledNonIdempotent: true,
      watchesAllConnections: true,
      connectTimeoutMs: backendConnectTimeoutMs,
      onConnectionLost: () => portChecker.checkSoon(),
    }),
  });
};

/**
 * Creates and connects the components of a node; nothing listens or ticks yet.
 *
 * @example
 * const components = createMeshNodeComponents({ settings, platform, incarnation, random, logger });
 */
export const createMeshNodeComponents = (
  givenOptions: MeshNodeComponentsOptions,
): MeshNodeComponents => {
  const store = new CountedRangeStore(givenOptions.platform.store);
  const options = { ...givenOptions, platform: { ...givenOptions.platform, store } };
  const { settings, platform, random, logger } = options;
  const late: LateComponents = {};
  const self = createMemberAnnouncement(settings, options.incarnation);
  const serverTracker = new LocalServerTracker({
    endpoint: `${settings.backendServer.address}:${settings.backendServer.port}`,
    service: settings.service,
    heartbeatIntervalMs: settings.heartbeatIntervalMs,
  });
  const bodyMemory = createBodyMemory(settings.memoryBytes);
  const transport = createNodeTransport(options, self, bodyMemory, late);
  const membership = createMembership({
    self,
    logger,
    random,
    links: transport.requester,
    ownConfigVersion: () => 0,
    isReady: () => late.isServing?.() === true,
  });
  const orders = createNodeOrders(options, transport, membership, late);
  const availability = createAvailability(membership, orders);
  late.isServing = () => orders.view.current().configuration !== undefined;
  const gate = new ServerGate({
    dataCentre: settings.dataCentre,
    serverTracker,
    orders: orders.view,
    capacityMode: settings.capacityMode,
    logger,
  });
  const moves = createNodeMoves(options, membership, orders, serverTracker, gate);
  const links = transport.requester;
  const usage = createNodeUsage({ ...options, ...platform, links, members: membership.view });
  const receiver = createNodeReceiver(options, moves, serverTracker, gate, usage, bodyMemory);
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
  const { keyChecker, refusedKeys } = createKeyCheck(orders, logger);
  const limits = (): ClientLimits | undefined => orders.view.current().configuration?.limits;
  const calls = createCallProxy({
    self: { ...self, address: settings.ingress.address },
    snapshots: {
      isServing: availability.isServing,
      isOutdated: () => orders.isBehind(),
      current: () => ({ configVersion: orders.view.current().configuration?.version ?? 0 }),
    },
    router,
    bodyMemory,
    rollout: moves.view,
    evidence: moves.recorder,
    receiver,
    sender: transport.sender,
    sequence: transport.attemptSequence,
    random,
    logger,
    retryPolicy: new ReachedServerRetryPolicy(),
    protocol: platform.protocol,
    keyChecker,
    clientLimits: limits,
    callerService: () => settings.service,
    onEnded: (summary) => callLog.add(summary),
  });
  late.onOrdersChanged = () => {
    const currentLimits = limits();
    if (currentLimits) calls.applyLimits(currentLimits);
    gate.run({ nowMs: monotonicNowMs() });
  };
  const heartbeatMonitor = new HeartbeatMonitor(serverTracker, gate, membership, logger);
  const seedRegistrar = new SeedRegistrar({
    self: { id: self.id, address: self.address, gossipPort: self.gossipPort },
    membership,
    store: platform.store,
    random,
    logger,
    storeEra: () => orders.storeEra(),
  });
  const systems = [
    ...[
      ...membership.systems,
      seedRegistrar,
      ...orders.systems,
      gate,
      heartbeatMonitor,
      ...moves.systems,
      ...(usage?.systems ?? []),
    ],
    ...[router, ...transport.systems, ...calls.systems, callLog, refusedKeys],
    new BodyMemoryLog(bodyMemory, logger),
  ];
  return {
    ...{
      store,
      transport,
      membership,
      orders,
      moves,
      gate,
      serverTracker,
      receiver,
      calls,
      bodyMemory,
      heartbeatMonitor,
      refusedKeys,
      usage,
      systems,
    },
    ...availability,
  };
};
