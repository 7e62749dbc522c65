import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { sha256Hex, type NodeSettings } from '@sequoiafield/config';
import { NodeError } from '@sequoiafield/errors';
import { logEvents, type Logger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop, wallNowUnixMs, type System } from '@sequoiafield/tables';
import { MoveVerdict, type MemberAnnouncement, type Seed } from '@sequoiafield/types';
import { AnnouncementEffect } from './backend-server-monitor.js';
import { createAdminInterface, type NodeAdmin } from './admin-interface.js';
import type { BackendServerAnnouncement } from './backend-server-announcement.js';
import { choosePort } from './choose-port.js';
import { createMetricsRegistry } from './metrics.js';
import { createLabelledMetricSources, createNodeMetricSources } from './node-metrics.js';
import { createNodeComponents, type NodeComponents } from './node-components.js';
import { SeedFinder } from './seed-finder.js';

/** Time in which a stopping node still accepts calls and forwards them to other nodes. */
const forwardingPeriodMs = 2000;

/** Maximum wait until the last answers are sent on the links. */
const linkIdleTimeoutMs = 1000;

/** Ports that a started node listens on. */
export interface NodePorts {
  readonly gossipPort: number;
  readonly linkPort: number;
  readonly callPort: number;
  readonly adminPort: number;
}

/** Node process: the components of the system that run beside one backend server. */
export class NodeProcess implements NodeAdmin {
  readonly #components: NodeComponents;

  readonly #tickLoop: TickLoop;

  readonly #metrics;

  readonly #admin;

  #stopping: Promise<void> | undefined;

  private constructor(
    private readonly settings: NodeSettings,
    private readonly self: MemberAnnouncement,
    private readonly logger: Logger,
  ) {
    // The random seed is a hash, because nodes that start together have similar incarnations, and
    // similar seeds give similar first random numbers.
    const randomSeedHex = sha256Hex(`${self.id} ${self.incarnation}`).slice(0, 8);
    const random = new SeededRandom(Number.parseInt(randomSeedHex, 16));
    const settingsSeeds = settings.gossip.seeds.map(({ address, port }) => ({
      id: '',
      address,
      gossipPort: port,
    }));
    this.#components = createNodeComponents({
      settings,
      self,
      random,
      logger,
      seeds: () => settingsSeeds,
    });
    const { membership, distribution, repository } = this.#components;
    const readSeeds = async (dataCentre: string): Promise<readonly Seed[]> =>
      (await repository.readSeeds(dataCentre))?.record.seeds ?? [];
    const systems: System[] = [
      ...this.#components.systems,
      new SeedFinder(
        self.dataCentre,
        membership.view,
        distribution.view,
        membership,
        readSeeds,
        random,
        settings.gossip.expectedFleetSize,
      ),
    ];
    this.#tickLoop = new TickLoop(systems, (system, error) =>
      logger.log(logEvents.systemFailed, { system, error: String(error) }),
    );
    this.#metrics = createMetricsRegistry(
      createNodeMetricSources(this.#components),
      createLabelledMetricSources(this.#components),
    );
    this.#admin = createAdminInterface(this, settings.node.adminToken);
    membership.join(settingsSeeds).catch(() => undefined);
  }

  /**
   * Creates the node and chooses a free port for each port that the settings leave open; `start`
   * makes it listen.
   *
   * @throws NodeError if the address cannot be used.
   * @example
   * const node = await NodeProcess.create(settings, logger);
   * const ports = await node.start();
   */
  static async create(configuredSettings: NodeSettings, logger: Logger): Promise<NodeProcess> {
    const { address } = configuredSettings.node;
    const gossipPort = await choosePort(configuredSettings.node.gossipPort, address);
    const linkPort = await choosePort(configuredSettings.node.linkPort, address);
    const callPort = await choosePort(configuredSettings.node.callPort, address);
    const settings = {
      ...configuredSettings,
      node: { ...configuredSettings.node, gossipPort, linkPort, callPort },
    };
    const self: MemberAnnouncement = {
      id: settings.node.id,
      incarnation: wallNowUnixMs(),
      address,
      gossipPort: settings.node.advertisedGossipPort || gossipPort,
      linkPort: settings.node.advertisedLinkPort || linkPort,
      callPort,
      region: settings.node.region,
      dataCentre: settings.node.dataCentre,
      service: settings.backendServer.service,
      backendVersion: settings.backendServer.version,
    };
    return new NodeProcess(settings, self, logger);
  }

  get members(): NodeComponents['membership']['view'] {
    return this.#components.membership.view;
  }

  get fleetQuery(): NodeComponents['membership']['fleetQuery'] {
    return this.#components.membership.fleetQuery;
  }

  /** Listens on every port and starts the tick loop. */
  async start(): Promise<NodePorts> {
    const { transport, membership, distribution, calls } = this.#components;
    await transport.start();
    await membership.start();
    await calls.start();
    const { adminAddress, adminPort } = this.settings.node;
    await this.#admin.listen({ host: adminAddress, port: adminPort });
    distribution.start();
    this.#tickLoop.start();
    const ports: NodePorts = {
      gossipPort: this.settings.node.gossipPort,
      linkPort: this.settings.node.linkPort,
      callPort: calls.callPort,
      adminPort: (this.#admin.server.address() as AddressInfo).port,
    };
    this.logger.log(logEvents.nodeStarted, { ...ports });
    return ports;
  }

  /** Announces that this node drains, and stops accepting new calls for its backend server. */
  drain(): void {
    const { membership, transport, backendServerMonitor, receiver } = this.#components;
    backendServerMonitor.drain();
    receiver.startDraining();
    membership.announceDraining();
    transport.announceDraining();
  }

  /**
   * Stops gracefully: announces the drain, forwards callers' calls to other nodes for a moment,
   * waits for running calls up to the drain timeout of the settings, and closes all listeners.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopGracefully();
    return this.#stopping;
  }

  receiveAnnouncement(announcement: BackendServerAnnouncement): boolean {
    if (this.#stopping) throw new NodeError('This node is stopping');
    const { backendServerMonitor, membership, receiver } = this.#components;
    const effect = backendServerMonitor.receiveAnnouncement(announcement);
    if (effect === AnnouncementEffect.Returned) {
      receiver.stopDraining();
      membership.announceDrainCancelled();
      this.logger.log(logEvents.backendServerReturned, { selfId: this.self.id });
    }
    return effect !== AnnouncementEffect.TooEarly;
  }

  state(): Readonly<Record<string, unknown>> {
    const { distribution, membership, rollout } = this.#components;
    const snapshot = distribution.view.current();
    return {
      id: this.self.id,
      incarnation: this.self.incarnation,
      dataCentre: this.self.dataCentre,
      service: this.self.service,
      backendVersion: this.self.backendVersion,
      configVersion: distribution.configVersion(),
      floor: distribution.minimumVersion() ?? null,
      isServing: distribution.view.isServing(),
      isStale: distribution.isStale(),
      hasBackendServer: this.#components.backendServerMonitor.current() !== undefined,
      services: snapshot ? [...snapshot.services.keys()] : [],
      members: membership.view.fleetSize(),
      movesTakenBack: rollout.view
        .statuses()
        .filter(({ verdict }) => verdict === MoveVerdict.RolledBack).length,
      headReads: distribution.headReads(),
      controlBytes: membership.counters.sentBytes + membership.counters.receivedBytes,
    };
  }

  moves(): ReturnType<NodeAdmin['moves']> {
    return this.#components.rollout.view.statuses();
  }

  metrics(): Promise<string> {
    return this.#metrics.metrics();
  }

  async #stopGracefully(): Promise<void> {
    this.logger.log(logEvents.nodeDraining, {});
    this.drain();
    await delay(forwardingPeriodMs);
    const { calls, membership, distribution, transport } = this.#components;
    const timeout = delay(this.settings.drain.timeoutMs, undefined, { ref: false });
    await Promise.race([calls.drain(), timeout]);
    await transport.whenIdle(linkIdleTimeoutMs);
    membership.announceLeft();
    this.#tickLoop.stop();
    distribution.stop();
    await this.#admin.close();
    await transport.stop();
    membership.stop();
    this.logger.log(logEvents.nodeStopped, {});
  }
}
