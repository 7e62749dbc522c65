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
import type { MetricSource } from './metrics.js';
import type { MeshNodeSettings } from './settings.js';

/**
 * Time in which a stopping node still takes requests: clients learn of it by two questions a second
 * apart, and the way of the last request.
 */
const stillTakingMs = 2600;
/** Until when the own backend server gets new calls; what runs then ends with the last requests. */
const ownServerServesMs = 1500;
/** Part of the grace in which a stopping node waits for what runs. */
const graceShare = 0.85;
/** Part of the grace in which calls of the own backend server are still taken. */
const ownCallsShare = 0.7;
const idlePollMs = 20;

/** One node of the mesh: the parts of the system beside one backend server. */
export class MeshNode {
  readonly #parts: MeshNodeComponents;

  readonly #loop: TickLoop;

  #stopping: Promise<void> | undefined;

  constructor(
    private readonly settings: MeshNodeSettings,
    platform: PlatformDependencies,
    private readonly logger: Logger,
  ) {
    const incarnation = wallNowUnixMs();
    const random = new SeededRandom(hashText32(`${settings.id} ${incarnation}`));
    this.#parts = createMeshNodeComponents({ settings, platform, incarnation, random, logger });
    this.#loop = new TickLoop(this.#parts.systems, (system, error) =>
      logger.log(logEvents.systemFailed, { system, error: String(error) }),
    );
  }

  /** Listens for peers and callers and starts the tick loop. */
  async start(): Promise<void> {
    const { transport, membership, calls } = this.#parts;
    await Promise.all([transport.start(), membership.start(), calls.start()]);
    this.#loop.start();
    this.#loop.runOnce();
    this.logger.log(logEvents.nodeStarted, { id: this.settings.id });
  }

  /** Whether clients may send requests here. */
  isReady(): boolean {
    return this.#stopping === undefined && this.#parts.isServing() && this.#parts.isConnected();
  }

  /** Takes a heartbeat of the backend server; its promises hold from then on. */
  receiveHeartbeat(heartbeat: BackendHeartbeat): void {
    this.#parts.heartbeatMonitor.receiveHeartbeat(heartbeat);
  }

  /** Takes the word of the backend server that it left. */
  receiveDeregistration(departure: BackendDeregistration): void {
    this.#parts.heartbeatMonitor.receiveDeregistration(departure);
  }

  /** Graceful shutdown: serves what comes and what runs, and ends within the grace. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopGracefully();
    return this.#stopping;
  }

  metricSources(): readonly MetricSource[] {
    const { calls, gate, membership, orders, moves } = this.#parts;
    const { counters } = calls;
    const source = (name: string, help: string, read: () => number): MetricSource => ({
      name: `sequoiafield_${name}`,
      help,
      read,
    });
    return [
      source('calls_started_total', 'Calls of callers', () => counters.callsStarted),
      source(
        'calls_answered_total',
        'Calls answered by a backend server',
        () => counters.callsAnswered,
      ),
      source('calls_not_run_total', 'Calls refused as not run', () => counters.callsNotRun),
      source('calls_unknown_total', 'Calls that may have run', () => counters.callsUnknown),
      source('call_retries_total', 'Attempts after the first', () => counters.retries),
      source(
        'backend_requests_total',
        'Requests to the own server',
        () => counters.backendRequests,
      ),
      source('backend_failures_total', 'Failed by the own server', () => counters.backendFailures),
      source('gate_running_calls', 'Calls on the own server', () => gate.load().runningCalls),
      source('gate_queued_calls', 'Calls that wait for a slot', () => gate.load().queuedCalls),
      source(
        'log_lines_dropped_total',
        'Log lines left out because their reader was too slow or gone',
        () => this.logger.linesDropped ?? 0,
      ),
      source('fleet_members', 'Live members', () => membership.view.fleetSize()),
      source('fleet_servers', 'Members whose backend server takes new work', () => {
        const rows = [...membership.view.all()];
        return rows.filter(({ service, state }) => service !== '' && takesNewWork(state)).length;
      }),
      source('orders_revision', 'Revision in force', () => orders.view.current().storeRevision),
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
    ];
  }

  async #whileRunning(runs: () => boolean, untilMs: number): Promise<void> {
    while (runs() && monotonicNowMs() < untilMs) await delay(idlePollMs);
  }

  async #stopGracefully(): Promise<void> {
    this.logger.log(logEvents.nodeDraining, {});
    const { calls, receiver, membership, transport, orders } = this.#parts;
    const startedAtMs = monotonicNowMs();
    calls.startClosingConnections();
    await delay(ownServerServesMs);
    receiver.startDraining();
    membership.announceDraining();
    transport.announceDraining();
    await delay(stillTakingMs - ownServerServesMs);
    const { graceMs } = this.settings;
    // What runs on the own backend server may still make calls of its own.
    await this.#whileRunning(
      () => receiver.running.size > 0,
      startedAtMs + ownCallsShare * graceMs,
    );
    calls.stopListening();
    const runs = (): boolean => calls.runningCount > 0 || transport.runningCount > 0;
    await this.#whileRunning(runs, startedAtMs + graceShare * graceMs);
    membership.announceLeft();
    // The last answers and the departure leave with the next turns of the loop.
    await delay(idlePollMs);
    this.#loop.stop();
    orders.stop();
    await calls.stop();
    await transport.stop();
    membership.stop();
    this.logger.log(logEvents.nodeStopped, {});
  }
}
