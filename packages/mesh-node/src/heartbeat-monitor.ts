import { HeartbeatEffect, type LocalServerTracker, type ServerGate } from '@sequoiafield/gate';
import { logEvents, type Logger } from '@sequoiafield/logger';
import type { Membership } from '@sequoiafield/membership';
import { monotonicNowMs, type System } from '@sequoiafield/tables';
import type { BackendDeregistration, BackendHeartbeat } from '@sequoiafield/types';

/** What a node announces while no backend server beside it takes new work. */
const noServer = { service: '', version: '' };

/**
 * Processes the announcements of the backend server beside this node, and announces to the fleet
 * whether that server takes new work.
 */
export class HeartbeatMonitor implements System {
  readonly name = 'server-watch';

  #wasSilent = false;

  constructor(
    private readonly serverTracker: LocalServerTracker,
    private readonly gate: ServerGate,
    private readonly membership: Membership,
    private readonly logger: Logger,
  ) {}

  /**
   * Processes a heartbeat and applies it to the gate at once; returns false if it names no server of
   * this node.
   */
  receiveHeartbeat(heartbeat: BackendHeartbeat): boolean {
    const effect = this.serverTracker.recordHeartbeat(heartbeat, monotonicNowMs());
    const { instanceId, service, version, bornAtUnixMs, sequence } = heartbeat;
    const fields = { instanceId, service, version, bornAtUnixMs, sequence };
    if (effect === HeartbeatEffect.Refused) {
      this.logger.log(logEvents.heartbeatIgnored, { ...fields, endpoint: heartbeat.endpoint });
      return false;
    }
    if (effect === HeartbeatEffect.Replaced) {
      this.logger.log(logEvents.backendServerAnnounced, fields);
    } else if (effect === HeartbeatEffect.Leaving) {
      this.logger.log(logEvents.backendServerLeaving, fields);
    } else if (effect === HeartbeatEffect.Ignored) {
      this.logger.log(logEvents.heartbeatIgnored, fields);
    }
    this.#applyServerState();
    return true;
  }

  /** Processes the deregistration of a server that leaves. */
  receiveDeregistration(deregistration: BackendDeregistration): void {
    const isKnown = this.serverTracker.recordDeregistration(deregistration);
    this.logger.log(logEvents.backendServerLeaving, { ...deregistration, isKnown });
    this.#applyServerState();
  }

  run(): void {
    this.#syncDeparted();
    const server = this.serverTracker.current();
    const isSilent = server !== undefined && this.gate.isSilent(server, monotonicNowMs());
    if (isSilent && !this.#wasSilent) {
      const { instanceId, service } = server.heartbeat;
      this.logger.log(logEvents.backendServerSilent, { instanceId, service });
    }
    this.#wasSilent = isSilent;
    const isServing = server !== undefined && !server.isLeaving && !isSilent;
    const { service, version } = isServing ? server.heartbeat : noServer;
    this.membership.announceBackendServer(service, version, this.serverTracker.lastDeparted());
  }

  /** Applies the departure of a server that only a former process of this node received. */
  #syncDeparted(): void {
    const departed = this.membership.departedServer();
    if (!departed || !this.serverTracker.recordDeparted(departed)) return;
    this.logger.log(logEvents.backendServerLeaving, { ...departed });
  }

  #applyServerState(): void {
    this.gate.run({ nowMs: monotonicNowMs() });
    this.run();
  }
}
