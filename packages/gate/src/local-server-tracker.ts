import {
  BackendServerState,
  type BackendDeregistration,
  type BackendHeartbeat,
} from '@sequoiafield/types';

/** Backend server beside this node, as it last announced itself. */
export interface LocalServer {
  readonly heartbeat: BackendHeartbeat;
  /** True from the first announcement that the server leaves; final for its incarnation. */
  readonly isLeaving: boolean;
  /** Time until which the server is cold, on the monotonic clock. */
  readonly coldUntilMs: number;
  /** When its last heartbeat was received, on the monotonic clock. */
  readonly heartbeatAtMs: number;
}

/** Effect of a heartbeat on the known server. */
export enum HeartbeatEffect {
  /**
   * Heartbeat ignored: it belongs to an earlier incarnation, arrived out of order, or names another
   * server.
   */
  Ignored = 'ignored',
  /** The known incarnation continues. */
  Continued = 'continued',
  /** A new incarnation replaces the known one. */
  Replaced = 'replaced',
  /** The known incarnation starts to leave. */
  Leaving = 'leaving',
}

/** Deregistered incarnations that are kept, so that their late heartbeats are ignored. */
const deregisteredIncarnationsMax = 16;

/**
 * Tracks the backend server beside this node by its heartbeats, which may be late, out of order, from
 * a former incarnation or from another server.
 *
 * @example
 * const tracker = new LocalServerTracker('10.1.0.41:8628');
 * tracker.recordHeartbeat(heartbeat, monotonicNowMs());
 * tracker.current()?.heartbeat.version;
 */
export class LocalServerTracker {
  #server: LocalServer | undefined;

  /** Start time of the last deregistered incarnation, by instance id. */
  readonly #deregisteredBornAtUnixMs = new Map<string, number>();

  constructor(private readonly endpoint: string) {}

  /** Returns the server, or undefined before its first heartbeat and after its deregistration. */
  current(): LocalServer | undefined {
    return this.#server;
  }

  recordHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatEffect {
    if (heartbeat.endpoint !== this.endpoint || this.#isDeregistered(heartbeat)) {
      return HeartbeatEffect.Ignored;
    }
    const known = this.#server;
    if (known?.heartbeat.instanceId === heartbeat.instanceId) {
      const { bornAtUnixMs } = known.heartbeat;
      if (heartbeat.bornAtUnixMs === bornAtUnixMs)
        return this.#continueIncarnation(known, heartbeat, nowMs);
    }
    if (known && heartbeat.bornAtUnixMs <= known.heartbeat.bornAtUnixMs) {
      return HeartbeatEffect.Ignored;
    }
    this.#server = this.#toServer(heartbeat, false, nowMs);
    return HeartbeatEffect.Replaced;
  }

  /** Records a deregistration; returns whether it belongs to the known server. */
  recordDeregistration(deregistration: BackendDeregistration): boolean {
    const known = this.#server?.heartbeat;
    if (known?.instanceId !== deregistration.instanceId) return false;
    const bornAtUnixMs = deregistration.bornAtUnixMs ?? known.bornAtUnixMs;
    if (bornAtUnixMs < known.bornAtUnixMs) return false;
    this.#deregisteredBornAtUnixMs.set(deregistration.instanceId, bornAtUnixMs);
    if (this.#deregisteredBornAtUnixMs.size > deregisteredIncarnationsMax) {
      this.#deregisteredBornAtUnixMs.delete(
        this.#deregisteredBornAtUnixMs.keys().next().value as string,
      );
    }
    this.#server = undefined;
    return true;
  }

  #isDeregistered({ instanceId, bornAtUnixMs }: BackendHeartbeat): boolean {
    return bornAtUnixMs <= (this.#deregisteredBornAtUnixMs.get(instanceId) ?? -1);
  }

  #continueIncarnation(
    known: LocalServer,
    heartbeat: BackendHeartbeat,
    nowMs: number,
  ): HeartbeatEffect {
    const isDraining = heartbeat.state === BackendServerState.Draining;
    const isLate = heartbeat.sequence <= known.heartbeat.sequence;
    // A drain is final, so that a late heartbeat with it counts as well as one in order.
    if (isLate && !(isDraining && !known.isLeaving)) return HeartbeatEffect.Ignored;
    const latest = isLate ? known.heartbeat : heartbeat;
    this.#server = this.#toServer(latest, known.isLeaving, nowMs, isDraining);
    return isDraining && !known.isLeaving ? HeartbeatEffect.Leaving : HeartbeatEffect.Continued;
  }

  #toServer(
    heartbeat: BackendHeartbeat,
    wasLeaving: boolean,
    nowMs: number,
    isDraining = heartbeat.state === BackendServerState.Draining,
  ): LocalServer {
    return {
      heartbeat,
      isLeaving: wasLeaving || isDraining,
      coldUntilMs: heartbeat.coldRemainingMs > 0 ? nowMs + heartbeat.coldRemainingMs : 0,
      heartbeatAtMs: nowMs,
    };
  }
}
