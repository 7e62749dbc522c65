import { createAdmission } from '@sequoiafield/admission';
import { createBurn, mergeBurn } from '@sequoiafield/burn';
import { BackendCallReceiver, createCallPath, UndiciBackendClient } from '@sequoiafield/calls';
import {
  checkReferences,
  digestOf,
  parseSection,
  toCanonicalJson,
  type NodeSettings,
} from '@sequoiafield/config';
import { createDistribution } from '@sequoiafield/distribution';
import type { Logger } from '@sequoiafield/logger';
import { createMembership } from '@sequoiafield/membership';
import { createRollout } from '@sequoiafield/rollout';
import { createRouting } from '@sequoiafield/routing';
import { ConfigRepository, HttpStore } from '@sequoiafield/store';
import type { RandomSource, System } from '@sequoiafield/tables';
import { createTransport } from '@sequoiafield/transport';
import {
  FleetQueryKind,
  MemberState,
  type CallReceiver,
  type MemberAnnouncement,
  type Seed,
} from '@sequoiafield/types';
import type { InForceAnswer } from './admin-interface.js';
import { BackendWatch } from './backend-watch.js';
import { BurnRecorder } from './burn-recorder.js';
import { RepositoryVerdictStore } from './repository-verdict-store.js';

/** Ids of lagging nodes that an answer to the in-force query names. */
const laggingNamed = 100;

/** What the parts of a node are built from. */
export interface NodePartsOptions {
  readonly settings: NodeSettings;
  readonly self: MemberAnnouncement;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Seeds of the settings and of the store, as far as they are known. */
  readonly seeds: () => readonly Seed[];
}

const createReceiverSlot = (): CallReceiver & { target?: CallReceiver } => ({
  receive(open, body, signal) {
    if (!this.target) throw new Error('The receiver is used before the node is built');
    return this.target.receive(open, body, signal);
  },
});

/**
 * Builds and connects the parts of a node; nothing listens or ticks yet.
 *
 * @example
 * const parts = createNodeParts({ settings, self, random, logger, seeds: () => [] });
 */
export const createNodeParts = ({
  settings,
  self,
  random,
  logger,
  seeds,
}: NodePartsOptions): NodeParts => {
  const { backendServer } = settings;
  const repository = new ConfigRepository(new HttpStore(settings.store));
  const backendWatch = new BackendWatch(backendServer);
  // The links carry calls for the receiver, which is built from parts that need the links.
  const receiverSlot = createReceiverSlot();
  const transport = createTransport({ self, receiver: receiverSlot, logger, random });
  const membership = createMembership({
    self,
    logger,
    random,
    links: transport.requester,
    ownConfigVersion: () => distribution.configVersion(),
    isReady: () => backendWatch.current() !== undefined && distribution.view.isServing(),
  });
  const distribution = createDistribution({
    members: membership.view,
    registers: membership.registers,
    links: transport.requester,
    headSource: repository,
    checker: { checkReferences, digestOf, parseSection, toCanonicalJson },
    wantedServices:
      settings.routing.services.length > 0 ? settings.routing.services : undefined,
    random,
    logger,
    lastRefreshedAtMs: () => membership.lastRefreshedAtMs(),
    witnesses: () => membership.witnesses(),
    seeds,
    onInForce: () => membership.announceConfigVersion(),
  });
  const rollout = createRollout({
    selfId: self.id,
    snapshot: distribution.view,
    members: membership.view,
    registers: membership.registers,
    messenger: membership.messenger,
    logger,
    verdictStore: new RepositoryVerdictStore(repository, self.id),
    random,
  });
  const admission = createAdmission({
    selfId: self.id,
    dataCentre: self.dataCentre,
    incarnation: self.incarnation,
    snapshot: distribution.view,
    rollout: rollout.view,
    ownServer: () => backendWatch.current(),
    random,
    logger,
  });
  const routing = createRouting({
    selfId: self.id,
    dataCentre: self.dataCentre,
    region: self.region,
    snapshot: distribution.view,
    members: membership.view,
    rollout: rollout.view,
    random,
    ownLoad: () => admission.admission.load(),
  });
  const burn = createBurn({ snapshot: distribution.view });
  const evidence = new BurnRecorder(rollout.recorder, burn);
  const receiver = new BackendCallReceiver({
    self,
    rollout: rollout.view,
    admission: admission.admission,
    evidence,
    backend: new UndiciBackendClient({
      origin: `http://${backendServer.address}:${backendServer.port}`,
      connectionsMax: backendServer.connectionsMax,
    }),
  });
  receiverSlot.target = receiver;
  const calls = createCallPath({
    self,
    snapshots: distribution.view,
    router: routing.router,
    rollout: rollout.view,
    evidence,
    receiver,
    sender: transport.sender,
    sequence: transport.sequence,
    random,
    logger,
  });
  membership.fleetQuery.register<{ configVersion: number }, InForceAnswer>(FleetQueryKind.InForce, {
    answer: ({ configVersion }) =>
      distribution.configVersion() >= configVersion
        ? { inForce: 1, lagging: [] }
        : { inForce: 0, lagging: [self.id] },
    merge: (left, right) => ({
      inForce: left.inForce + right.inForce,
      lagging: [...left.lagging, ...right.lagging].slice(0, laggingNamed),
    }),
  });
  membership.fleetQuery.register(FleetQueryKind.BurnWindows, {
    answer: () => burn.answer(),
    merge: mergeBurn,
  });
  return { repository, transport, membership, distribution, rollout, calls, burn, backendWatch, receiver, admission: admission.admission, systems: [
    backendWatch, ...membership.systems, ...distribution.systems, ...rollout.systems, ...routing.systems, ...admission.systems, ...transport.systems, ...burn.systems ] };
};
