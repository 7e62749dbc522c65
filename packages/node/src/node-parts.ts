import { createAdmission, type AdmissionParts } from '@sequoiafield/admission';
import { createBurn, mergeBurn, type Burn } from '@sequoiafield/burn';
import {
  BackendCallReceiver,
  createCallPath,
  UndiciBackendClient,
  type CallPath,
} from '@sequoiafield/calls';
import {
  checkReferences,
  digestOf,
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
import { createRouting, type Routing } from '@sequoiafield/routing';
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
import type { InForceAnswer } from './admin-interface.js';
import { BackendWatch } from './backend-watch.js';
import { BurnRecorder } from './burn-recorder.js';
import { MappedPort } from './mapped-port.js';
import { RepositoryVerdictStore } from './repository-verdict-store.js';

/** Ids of lagging nodes that an answer to the in-force query names. */
const laggingNamed = 100;
/** The smaller of the users' limits on connections to a backend server. */
const backendConnectionsMax = 110;

/** What the parts of a node are built from. */
export interface NodePartsOptions {
  readonly settings: NodeSettings;
  readonly self: MemberAnnouncement;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Seeds of the settings and of the store, as far as they are known. */
  readonly seeds: () => readonly Seed[];
}

/** The connected parts of a node. */
export interface NodeParts {
  readonly transport: Transport;
  readonly membership: Membership;
  readonly distribution: Distribution;
  readonly rollout: Rollout;
  readonly admission: AdmissionParts['admission'];
  readonly refusals: AdmissionParts['refusals'];
  readonly calls: CallPath;
  readonly receiver: BackendCallReceiver;
  readonly repository: ConfigRepository;
  readonly backendWatch: BackendWatch;
  /** In the order in which the tick loop runs them. */
  readonly systems: readonly System[];
}

/** Parts that are built later and that earlier ones call back. */
interface LateParts {
  distribution?: Distribution;
  receiver?: CallReceiver;
  onPeerDraining?: (memberId: string) => void;
}

/** The links carry calls for the receiver, which is built from parts that need the links. */
const lateReceiver = (late: LateParts): CallReceiver => ({
  receive(open, body, signal) {
    if (!late.receiver) throw new NodeError('The receiver is used before the node is built');
    return late.receiver.receive(open, body, signal);
  },
});

const createLinks = (
  { settings, self, logger, random }: NodePartsOptions,
  late: LateParts,
): Transport =>
  createTransport({
    self: { ...self, linkPort: settings.node.linkPort },
    receiver: lateReceiver(late),
    logger,
    random,
    onPeerDraining: ({ id }) => late.onPeerDraining?.(id),
  });

const createMembers = (
  { settings, self, logger, random }: NodePartsOptions,
  late: LateParts,
  transport: Transport,
  backendWatch: BackendWatch,
): Membership =>
  createMembership({
    self,
    logger,
    random,
    links: transport.requester,
    port: new MappedPort(settings.node.gossipPort),
    ownConfigVersion: () => late.distribution?.configVersion() ?? 0,
    isReady: () =>
      backendWatch.current() !== undefined && late.distribution?.view.isServing() === true,
  });

const createConfiguration = (
  { settings, random, logger, seeds }: NodePartsOptions,
  transport: Transport,
  membership: Membership,
  repository: ConfigRepository,
): Distribution =>
  createDistribution({
    members: membership.view,
    registers: membership.registers,
    links: transport.requester,
    headSource: repository,
    checker: { checkReferences, digestOf, joinMesh, parseSection, toCanonicalJson },
    wantedServices: settings.routing.services.length > 0 ? settings.routing.services : undefined,
    random,
    logger,
    lastRefreshedAtMs: () => membership.lastRefreshedAtMs(),
    witnesses: () => membership.witnesses(),
    seeds,
    expectedFleetSize: settings.gossip.expectedFleetSize,
    onSeedsRead: (read) =>
      membership.greet(read.filter(({ id }) => membership.view.get(id) === undefined)),
    onInForce: () => membership.announceConfigVersion(),
  });

/** Parts that hold what the fleet agrees on: members, configuration in force and links. */
interface ControlParts {
  readonly transport: Transport;
  readonly membership: Membership;
  readonly distribution: Distribution;
  readonly repository: ConfigRepository;
  readonly backendWatch: BackendWatch;
}

const createControl = (options: NodePartsOptions, late: LateParts): ControlParts => {
  const { settings } = options;
  const repository = new ConfigRepository(new HttpStore(settings.store));
  const backendWatch = new BackendWatch(settings.backendServer);
  const transport = createLinks(options, late);
  const membership = createMembers(options, late, transport, backendWatch);
  const distribution = createConfiguration(options, transport, membership, repository);
  return { transport, membership, distribution, repository, backendWatch };
};

const createMoves = (
  { self, logger, random }: NodePartsOptions,
  { distribution, membership, repository }: ControlParts,
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

const createOwnAdmission = (
  { self, logger, random }: NodePartsOptions,
  { distribution, backendWatch }: ControlParts,
  rollout: Rollout,
): AdmissionParts =>
  createAdmission({
    selfId: self.id,
    dataCentre: self.dataCentre,
    incarnation: self.incarnation,
    snapshot: distribution.view,
    rollout: rollout.view,
    observation: rollout.observation,
    ownServer: () => backendWatch.current(),
    random,
    logger,
  });

const createChoice = (
  { self, random }: NodePartsOptions,
  { distribution, membership }: ControlParts,
  rollout: Rollout,
  admission: AdmissionParts,
): Routing =>
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

const createReceiver = (
  { settings, self }: NodePartsOptions,
  rollout: Rollout,
  admission: AdmissionParts,
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

/** Reports a drain that a link told to the router, before gossip brings it. */
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
  burn: Burn,
  selfId: string,
): void => {
  fleetQuery.register<{ configVersion: number }, InForceAnswer>(FleetQueryKind.InForce, {
    answer: ({ configVersion }) =>
      distribution.configVersion() >= configVersion
        ? { inForce: 1, lagging: [] }
        : { inForce: 0, lagging: [selfId] },
    merge: (left, right) => ({
      inForce: left.inForce + right.inForce,
      lagging: [...left.lagging, ...right.lagging].slice(0, laggingNamed),
    }),
  });
  fleetQuery.register(FleetQueryKind.BurnWindows, {
    answer: () => burn.answer(),
    merge: mergeBurn,
  });
};

/**
 * Builds and connects the parts of a node; nothing listens or ticks yet.
 *
 * @example
 * const parts = createNodeParts({ settings, self, random, logger, seeds: () => [] });
 */
export const createNodeParts = (options: NodePartsOptions): NodeParts => {
  const { self, random, logger } = options;
  const late: LateParts = {};
  const control = createControl(options, late);
  late.distribution = control.distribution;
  const { transport, membership, distribution, backendWatch } = control;
  const rollout = createMoves(options, control);
  const admission = createOwnAdmission(options, control, rollout);
  const routing = createChoice(options, control, rollout, admission);
  const burn = createBurn({ snapshot: distribution.view });
  const evidence = new BurnRecorder(rollout.recorder, burn);
  const receiver = createReceiver(options, rollout, admission, evidence);
  late.receiver = receiver;
  late.onPeerDraining = (memberId) => reportDraining(membership, routing.router, memberId);
  const calls = createCallPath({
    ...{ self, random, logger, evidence, receiver },
    snapshots: distribution.view,
    router: routing.router,
    rollout: rollout.view,
    sender: transport.sender,
    sequence: transport.sequence,
  });
  registerFleetQueries(membership.fleetQuery, distribution, burn, self.id);
  const decisions = [rollout, routing, admission, transport, calls, burn];
  const systems = [membership, distribution, ...decisions].flatMap((part) => [...part.systems]);
  return {
    ...control,
    rollout,
    admission: admission.admission,
    refusals: admission.refusals,
    calls,
    receiver,
    systems: [backendWatch, ...systems],
  };
};
