import { AccountCheck, RefusedKeyLog } from '@sequoiafield/accounts';
import { createAdmission, type AdmissionComponents } from '@sequoiafield/admission';
import { createBurnTracker, mergeBurnAnswers, type BurnTracker } from '@sequoiafield/burn';
import {
  BackendCallReceiver,
  createCallProxy,
  UndiciBackendClient,
  type CallProxy,
} from '@sequoiafield/calls';
import {
  checkReferences,
  sha256Hex,
  joinMesh,
  parseSection,
  toCanonicalJson,
  type NodeSettings,
} from '@sequoiafield/config';
import { NodeError } from '@sequoiafield/errors';
import { createDistribution, type Distribution } from '@sequoiafield/distribution';
import type { Logger } from '@sequoiafield/logger';
import { createMembership, type Membership } from '@sequoiafield/membership';
import { createRollout, type Rollout } from '@sequoiafield/rollout';
import { createRouting, type RoutingComponents } from '@sequoiafield/routing';
import { ConfigRepository, HttpStore } from '@sequoiafield/store';
import type { RandomSource, System } from '@sequoiafield/tables';
import { createTransport, type Transport } from '@sequoiafield/transport';
import {
  FleetQueryKind,
  RefusalReason,
  type FleetQuery,
  type CallReceiver,
  type EvidenceRecorder,
  type MemberAnnouncement,
  type Router,
  type Seed,
} from '@sequoiafield/types';
import type { ActiveVersionAnswer } from './admin-interface.js';
import { BackendServerMonitor } from './backend-server-monitor.js';
import { BurnRecorder } from './burn-recorder.js';
import { MappedPort } from './mapped-port.js';
import { RepositoryVerdictStore } from './repository-verdict-store.js';

/** Maximum number of lagging node ids in an answer to the active version query. */
const laggingNodesMax = 100;
/** The smaller of the users' limits on connections to a backend server. */
const backendConnectionsMax = 110;

/** Options of `createNodeComponents`. */
export interface NodeComponentsOptions {
  readonly settings: NodeSettings;
  readonly self: MemberAnnouncement;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Returns the known seeds of the settings and of the store. */
  readonly seeds: () => readonly Seed[];
}

/** The connected components of a node. */
export interface NodeComponents {
  readonly transport: Transport;
  readonly membership: Membership;
  readonly distribution: Distribution;
  readonly rollout: Rollout;
  readonly admission: AdmissionComponents['admission'];
  readonly refusals: AdmissionComponents['refusals'];
  readonly calls: CallProxy;
  readonly receiver: BackendCallReceiver;
  readonly refusedKeys: RefusedKeyLog;
  readonly repository: ConfigRepository;
  readonly backendServerMonitor: BackendServerMonitor;
  /** In the order in which the tick loop runs them. */
  readonly systems: readonly System[];
}

/** Components that are created later and that earlier ones call. */
interface LateComponents {
  distribution?: Distribution;
  receiver?: CallReceiver;
  onPeerDraining?: (memberId: string) => void;
}

/**
 * Creates the receiver that the transport calls. It forwards to the backend call receiver, which is
 * created after the transport because it depends on components that need the transport.
 */
const createForwardingReceiver = (late: LateComponents): CallReceiver => ({
  receive(open, body, signal) {
    if (!late.receiver) throw new NodeError('The receiver is used before the node is built');
    return late.receiver.receive(open, body, signal);
  },
});

const createNodeTransport = (
  { settings, self, logger, random }: NodeComponentsOptions,
  late: LateComponents,
): Transport =>
  createTransport({
    self: { ...self, linkPort: settings.node.linkPort },
    receiver: createForwardingReceiver(late),
    logger,
    random,
    onPeerDraining: ({ id }) => late.onPeerDraining?.(id),
  });

const createNodeMembership = (
  { settings, self, logger, random }: NodeComponentsOptions,
  late: LateComponents,
  transport: Transport,
  backendServerMonitor: BackendServerMonitor,
): Membership =>
  createMembership({
    self,
    logger,
    random,
    links: transport.requester,
    socket: new MappedPort(settings.node.gossipPort),
    ownConfigVersion: () => late.distribution?.configVersion() ?? 0,
    isReady: () =>
      backendServerMonitor.current() !== undefined && late.distribution?.view.isServing() === true,
  });

const createNodeDistribution = (
  { settings, random, logger, seeds }: NodeComponentsOptions,
  transport: Transport,
  membership: Membership,
  repository: ConfigRepository,
): Distribution =>
  createDistribution({
    members: membership.view,
    registers: membership.registers,
    links: transport.requester,
    configurationStore: repository,
    checker: { checkReferences, digestOf: sha256Hex, joinMesh, parseSection, toCanonicalJson },
    wantedServices: settings.routing.services.length > 0 ? settings.routing.services : undefined,
    random,
    logger,
    lastGossipAckAtMs: () => membership.lastGossipAckAtMs(),
    versionWitnesses: () => membership.versionWitnesses(),
    seeds,
    expectedFleetSize: settings.gossip.expectedFleetSize,
    onSeedsRead: (read) =>
      membership.pingSeeds(read.filter(({ id }) => membership.view.get(id) === undefined)),
    onSnapshotActivated: () => membership.announceConfigVersion(),
  });

/** Components that hold the shared state of the fleet: members, active configuration and links. */
interface ControlComponents {
  readonly transport: Transport;
  readonly membership: Membership;
  readonly distribution: Distribution;
  readonly repository: ConfigRepository;
  readonly backendServerMonitor: BackendServerMonitor;
}

const createControlComponents = (
  options: NodeComponentsOptions,
  late: LateComponents,
): ControlComponents => {
  const { settings } = options;
  const repository = new ConfigRepository(new HttpStore(settings.store));
  const backendServerMonitor = new BackendServerMonitor(settings.backendServer);
  const transport = createNodeTransport(options, late);
  const membership = createNodeMembership(options, late, transport, backendServerMonitor);
  const distribution = createNodeDistribution(options, transport, membership, repository);
  return { transport, membership, distribution, repository, backendServerMonitor };
};

const createNodeRollout = (
  { self, logger, random }: NodeComponentsOptions,
  { distribution, membership, repository }: ControlComponents,
): Rollout =>
  createRollout({
    selfId: self.id,
    snapshot: distribution.view,
    members: membership.view,
    registers: membership.registers,
    messenger: membership.messenger,
    logger,
    verdictStore: new RepositoryVerdictStore(repository, self.id),
    random,
  });

const createNodeAdmission = (
  { self, logger, random }: NodeComponentsOptions,
  { distribution, backendServerMonitor }: ControlComponents,
  rollout: Rollout,
): AdmissionComponents =>
  createAdmission({
    selfId: self.id,
    dataCentre: self.dataCentre,
    incarnation: self.incarnation,
    snapshot: distribution.view,
    rollout: rollout.view,
    shareTracker: rollout.shareTracker,
    ownServer: () => backendServerMonitor.current(),
    random,
    logger,
  });

const createNodeRouting = (
  { self, random }: NodeComponentsOptions,
  { distribution, membership }: ControlComponents,
  rollout: Rollout,
  admission: AdmissionComponents,
): RoutingComponents =>
  createRouting({
    selfId: self.id,
    dataCentre: self.dataCentre,
    region: self.region,
    snapshot: distribution.view,
    members: membership.view,
    rollout: rollout.view,
    random,
    ownLoad: () => admission.admission.load(),
  });

const createNodeReceiver = (
  { settings, self }: NodeComponentsOptions,
  rollout: Rollout,
  admission: AdmissionComponents,
  evidence: EvidenceRecorder,
): BackendCallReceiver =>
  new BackendCallReceiver({
    self,
    rollout: rollout.view,
    admission: admission.admission,
    evidence,
    backend: new UndiciBackendClient({
      origin: `http://${settings.backendServer.address}:${settings.backendServer.port}`,
      connectionsMax: backendConnectionsMax,
    }),
  });

/** Reports a drain received over a link to the router before it arrives by gossip. */
const reportDraining = (membership: Membership, router: Router, memberId: string): void =>
  router.report({
    memberId,
    service: membership.view.get(memberId)?.service ?? '',
    hasFailed: false,
    latencyMs: 0,
    refusalReason: RefusalReason.Draining,
  });

const registerFleetQueries = (
  fleetQuery: FleetQuery,
  distribution: Distribution,
  burn: BurnTracker,
  selfId: string,
): void => {
  fleetQuery.register<{ configVersion: number }, ActiveVersionAnswer>(
    FleetQueryKind.ActiveVersion,
    {
      answer: ({ configVersion }) =>
        distribution.configVersion() >= configVersion
          ? { inForce: 1, lagging: [] }
          : { inForce: 0, lagging: [selfId] },
      merge: (left, right) => ({
        inForce: left.inForce + right.inForce,
        lagging: [...left.lagging, ...right.lagging].slice(0, laggingNodesMax),
      }),
    },
  );
  fleetQuery.register(FleetQueryKind.BurnWindows, {
    answer: () => burn.answer(),
    merge: mergeBurnAnswers,
  });
};

/**
 * Creates and connects the components of a node; nothing listens or ticks yet.
 *
 * @example
 * const components = createNodeComponents({ settings, self, random, logger, seeds: () => [] });
 */
export const createNodeComponents = (options: NodeComponentsOptions): NodeComponents => {
  const { self, random, logger } = options;
  const late: LateComponents = {};
  const control = createControlComponents(options, late);
  late.distribution = control.distribution;
  const { transport, membership, distribution, backendServerMonitor } = control;
  const rollout = createNodeRollout(options, control);
  const admission = createNodeAdmission(options, control, rollout);
  const routing = createNodeRouting(options, control, rollout, admission);
  const burn = createBurnTracker({ snapshot: distribution.view });
  const evidence = new BurnRecorder(rollout.recorder, burn);
  const receiver = createNodeReceiver(options, rollout, admission, evidence);
  late.receiver = receiver;
  late.onPeerDraining = (memberId) => reportDraining(membership, routing.router, memberId);
  const refusedKeys = new RefusedKeyLog(logger);
  const calls = createCallProxy({
    ...{ self, random, logger, evidence, receiver },
    keyChecker: new AccountCheck({
      configuration: () => distribution.view.current()?.mesh,
      isOutdated: () => distribution.isOutdated(),
      onRefused: (route, hasKey) => refusedKeys.count(route, hasKey),
    }),
    snapshots: distribution.view,
    router: routing.router,
    rollout: rollout.view,
    sender: transport.sender,
    sequence: transport.attemptSequence,
  });
  registerFleetQueries(membership.fleetQuery, distribution, burn, self.id);
  const callComponents = [rollout, routing, admission, transport, calls, burn];
  const systems = [membership, distribution, ...callComponents].flatMap((component) => [
    ...component.systems,
  ]);
  return {
    ...control,
    rollout,
    admission: admission.admission,
    refusals: admission.refusals,
    calls,
    receiver,
    refusedKeys,
    systems: [backendServerMonitor, ...systems, refusedKeys],
  };
};
