import { setTimeout as delay } from 'node:timers/promises';
import { logEvents, type Logger } from '@sequoiafield/logger';
import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs, SeededRandom, TickLoop, wallNowUnixMs } from '@sequoiafield/tables';
import {
  MoveVerdict,
  takesNewWork,
  type BackendDeregistration,
  type BackendHeartbeat,
} from '@sequoiafield/types';
import {
  createMeshNodeComponents,
  type MeshNodeComponents,
  type PlatformDependencies,
} from './mesh-node-components.js';
import { bodyMetricSources } from './body-metrics.js';
import type { MetricSource } from './metrics.js';
import { usageMetrics } from './node-usage.js';
import type { MeshNodeSettings } from './settings.js';

/**
 * Time in which a stopping node still accepts requests. It covers two readiness checks of the
 * clients, which are one second apart, and the transit of the last request.
 */
const acceptingRequestsMs = 2600;
/**
 * Time in which the own backend server of a stopping node still gets new calls. Its running calls
 * then end by about the time of the last requests.
 */
const ownServerAcceptsMs = 1500;
/** Share of the grace period in which a stopping node waits for running calls. */
const runningCallsGraceShare = 0.85;
/** Share of the grace period in which calls made by the own backend server are still accepted. */
const ownServerCallsGraceShare = 0.7;
const idlePollIntervalMs = 20;

/** Node of the mesh: the components of the system that run beside one backend server. */
export class MeshNode {
  readonly #components: MeshNodeComponents;

  readonly #tickLoop: TickLoop;

  #stopping: Promise<void> | undefined;

  constructor(
    private readonly settings: MeshNodeSettings,
    platform: PlatformDependencies,
    private readonly logger: Logger,
  ) {
    const incarnation = wallNowUnixMs();
    const random = new SeededRandom(hashText32(`${settings.id} ${incarnation}`));
    this.#components = createMeshNodeComponents({
      settings,
      platform,
      incarnation,
      random,
      logger,
    });
    this.#tickLoop = new TickLoop(this.#components.systems, (system, error) =>
      logger.log(logEvents.systemFailed, { system, error: String(error) }),
    );
  }

  /** Listens for peers and callers and starts the tick loop. */
  async start(): Promise<void> {
    const { transport, membership, calls } = this.#components;
    await Promise.all([transport.start(), membership.start(), calls.start()]);
    this.#tickLoop.start();
    this.#tickLoop.runOnce();
    this.logger.log(logEvents.nodeStarted, { id: this.settings.id });
  }

  /** Whether clients may send requests here. */
  isReady(): boolean {
    return (
      this.#stopping === undefined && this.#components.isServing() && this.#components.isConnected()
    );
  }

  /** Says what an operator should know although the node serves; empty if there is nothing. */
  readinessNote(): string {
    const keys = this.#components.orders.view.current().malformedKeys ?? [];
    return keys.length === 0 ? '' : `cannot decode ${keys.join(', ')}; the former state is active`;
  }

  /**
   * Processes a heartbeat of the backend server, which takes effect at once. Resolves when it may be
   * acknowledged: the leaving of a server was sent to peers, which keep it for a later process. Resolves
   * with false if it names no server of this node, and must not be acknowledged.
   */
  async receiveHeartbeat(heartbeat: BackendHeartbeat): Promise<boolean> {
    const isAccepted = this.#components.heartbeatMonitor.receiveHeartbeat(heartbeat);
    await this.#components.membership.flush();
    return isAccepted;
  }

  /** Processes the deregistration of the backend server; resolves when it may be acknowledged. */
  receiveDeregistration(deregistration: BackendDeregistration): Promise<void> {
    this.#components.heartbeatMonitor.receiveDeregistration(deregistration);
    return this.#components.membership.flush();
  }

  /**
   * Stops gracefully: accepts new requests for a while, waits for running calls and ends within the
   * grace period.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopGracefully();
    return this.#stopping;
  }

  metricSources(): readonly MetricSource[] {
    const {
      calls,
      gate,
      membership,
      orders,
      moves,
      store,
      transport,
      refusedKeys,
      usage,
      bodyMemory,
    } = this.#components;
    const { counters } = calls;
    const source = (name: string, help: string, read: () => number): MetricSource => ({
      name: `sequoiafield_${name}`,
      help,
      read,
    });
    return [
      ...bodyMetricSources(bodyMemory, calls),
      source('calls_started_total', 'Calls of callers', () => counters.callsStarted),
      source(
        'calls_answered_total',
        'Calls answered by a backend server',
        () => counters.callsAnswered,
      ),
      source('calls_not_run_total', 'Calls refused as not run', () => counters.callsNotRun),
      source('calls_unknown_total', 'Calls that may have run', () => counters.callsUnknown),
      source(
        'requests_without_key_total',
        'Requests refused because they have no key of a client account',
        () => refusedKeys.withoutKey,
      ),
      source(
        'requests_unknown_key_total',
        'Requests refused because the configuration does not hold their key',
        () => refusedKeys.withUnknownKey,
      ),
      source(
        'requests_late_total',
        'Requests that may have waited unread for too long',
        () => counters.requestsLate,
      ),
      source(
        'requests_abandoned_total',
        'Requests dropped because their caller had left before they were read',
        () => counters.requestsAbandoned,
      ),
      source('call_retries_total', 'Attempts after the first', () => counters.retries),
      source(
        'backend_requests_total',
        'Requests to the own server',
        () => counters.backendRequests,
      ),
      source('backend_failures_total', 'Failed by the own server', () => counters.backendFailures),
      source('gate_running_calls', 'Calls on the own server', () => gate.load().runningCalls),
      source('gate_slots_now', 'Calls that may run at a time', () => gate.load().slotsNow),
      source(
        'gate_server_speed',
        'Speed of the own server against its own history; 1 if it is not learned',
        () => gate.capacity.speed(),
      ),
      source('gate_queued_calls', 'Calls that wait for a slot', () => gate.load().queuedCalls),
      source(
        'log_lines_dropped_total',
        'Log lines left out because their reader was too slow or gone',
        () => this.logger.linesDropped ?? 0,
      ),
      source('store_reads_total', 'Reads of the store', () => store.counters.reads),
      source(
        'store_stale_reads_total',
        'Reads of the store whose answer may be some seconds old',
        () => store.counters.staleReads,
      ),
      source('store_watches_total', 'Watch calls to the store', () => store.counters.watches),
      source('store_writes_total', 'Writes to the store', () => store.counters.writes),
      source(
        'store_lease_calls_total',
        'Leases granted or renewed',
        () => store.counters.leaseCalls,
      ),
      source('store_failures_total', 'Failed calls to the store', () => store.counters.failures),
      source(
        'gossip_sent_bytes_total',
        'Bytes of gossip to all members',
        () => membership.counters.sentBytes,
      ),
      source(
        'gossip_sent_far_bytes_total',
        'Bytes of gossip to members of other data centres',
        () => membership.counters.sentFarBytes,
      ),
      source(
        'gossip_deferred_pushes_total',
        'Times that changes waited for the byte budget of gossip',
        () => membership.counters.deferredPushes,
      ),
      source(
        'gossip_dropped_items_total',
        'Malformed rows, states and registers of peers',
        () => membership.counters.droppedItems,
      ),
      source(
        'link_messages_sent_total',
        'Messages to other nodes over links',
        () => transport.counters.messagesSent,
      ),
      source('fleet_members', 'Live members', () => membership.view.fleetSize()),
      source('fleet_servers', 'Members whose backend server takes new work', () => {
        const rows = [...membership.view.all()];
        return rows.filter(({ service, state }) => service !== '' && takesNewWork(state)).length;
      }),
      source('orders_revision', 'Revision in force', () => orders.view.current().storeRevision),
      source(
        'orders_malformed',
        'Entries that cannot be decoded',
        () => orders.view.current().malformedKeys?.length ?? 0,
      ),
      source('store_era', 'Era of the store, which rises with each restore from a copy', () =>
        orders.storeEra(),
      ),
      source('orders_unconfirmed', 'Entries in force that the restored store does not show', () =>
        orders.unconfirmedEntries(),
      ),
      source(
        'config_version',
        'Configuration in force',
        () => orders.view.current().configuration?.version ?? 0,
      ),
      source(
        'moves_undecided',
        'Moves that run',
        () =>
          moves.view.statuses().filter(({ verdict }) => verdict === MoveVerdict.Undecided).length,
      ),
      ...(usage ? usageMetrics(usage, source) : []),
    ];
  }

  async #waitWhile(isRunning: () => boolean, deadlineMs: number): Promise<void> {
    while (isRunning() && monotonicNowMs() < deadlineMs) await delay(idlePollIntervalMs);
  }

  async #stopGracefully(): Promise<void> {
    this.logger.log(logEvents.nodeDraining, {});
    const { calls, receiver, membership, transport, orders } = this.#components;
    const startedAtMs = monotonicNowMs();
    calls.startClosingConnections();
    await delay(ownServerAcceptsMs);
    receiver.startDraining();
    membership.announceDraining();
    transport.announceDraining();
    await delay(acceptingRequestsMs - ownServerAcceptsMs);
    const { graceMs } = this.settings;
    const endsAtMs = startedAtMs + runningCallsGraceShare * graceMs;
    calls.refuseCallsBeyond(endsAtMs);
    // Calls that run on the own backend server may still make calls through this node.
    await this.#waitWhile(
      () => receiver.running.size > 0,
      startedAtMs + ownServerCallsGraceShare * graceMs,
    );
    calls.stopListening();
    const isRunning = (): boolean => calls.runningCount > 0 || transport.runningCount > 0;
    await this.#waitWhile(isRunning, endsAtMs);
    membership.announceLeft();
    // The last answers and the announcement above are sent in the next turns of the event loop.
    await delay(idlePollIntervalMs);
    this.#tickLoop.stop();
    orders.stop();
    await calls.stop();
    await transport.stop();
    membership.stop();
    this.logger.log(logEvents.nodeStopped, {});
  }
}
