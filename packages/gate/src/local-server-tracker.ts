import {
  BackendServerState,
  type BackendDeregistration,
  type BackendHeartbeat,
} from '@sequoiafield/types';

/** The backend server beside this node, as it announced itself. */
export interface LocalServer {
  readonly heartbeat: BackendHeartbeat;
  /** True from the first word that it leaves; an incarnation never takes it back. */
  readonly isLeaving: boolean;
  /** Until when it is cold, on the monotonic clock. */
  readonly coldUntilMs: number;
  /** When it was last heard, on the monotonic clock. */
  readonly heartbeatAtMs: number;
}

/** What a heartbeat changed. */
export enum HeartbeatEffect {
  /** Of an earlier incarnation, out of order, or of a server that is not beside this node. */
  Ignored = 'ignored',
  /** The known incarnation goes on. */
  Continued = 'continued',
  /** Another incarnation took over. */
  Replaced = 'replaced',
  /** The known incarnation leaves from now on. */
  Leaving = 'leaving',
}

/** Departed incarnations that are remembered; late heartbeats of them stay ignored. */
const deregisteredIncarnationsMax = 16;

/**
 * Knows the backend server beside this node from what it says of itself. Heartbeats may be late, out
 * of order, from a former incarnation or from another server.
 *
 * @example
 * const book = new LocalServerTracker('10.1.0.41:8628');
 * book.recordHeartbeat(heartbeat, monotonicNowMs());
 * book.current()?.heartbeat.version;
 */
export class LocalServerTracker {
  #server: LocalServer | undefined;

  /** Start of each departed incarnation, by instance id. */
  readonly #departed = new Map<string, number>();

  constructor(private readonly endpoint: string) {}

  /** The server, or undefined before its first heartbeat and after it departed. */
  current(): LocalServer | undefined {
    return this.#server;
  }

  recordHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatEffect {
    if (heartbeat.endpoint !== this.endpoint || this.#isDeparted(heartbeat)) {
      return HeartbeatEffect.Ignored;
    }
    const known = this.#server;
    if (known?.heartbeat.instanceId === heartbeat.instanceId) {
      const { bornAtUnixMs } = known.heartbeat;
      if (heartbeat.bornAtUnixMs === bornAtUnixMs) return this.#goOn(known, heartbeat, nowMs);
    }
    if (known && heartbeat.bornAtUnixMs <= known.heartbeat.bornAtUnixMs) {
      return HeartbeatEffect.Ignored;
    }
    this.#server = this.#toServer(heartbeat, false, nowMs);
    return HeartbeatEffect.Replaced;
  }

  /** Notes that a server left; says whether it was the known one. */
  recordDeregistration(departure: BackendDeregistration): boolean {
    const known = this.#server?.heartbeat;
    if (known?.instanceId !== departure.instanceId) return false;
    const bornAtUnixMs = departure.bornAtUnixMs ?? known.bornAtUnixMs;
    if (bornAtUnixMs < known.bornAtUnixMs) return false;
    this.#departed.set(departure.instanceId, bornAtUnixMs);
    if (this.#departed.size > deregisteredIncarnationsMax) {
      this.#departed.delete(this.#departed.keys().next().value as string);
    }
    this.#server = undefined;
    return true;
  }

  #isDeparted({ instanceId, bornAtUnixMs }: BackendHeartbeat): boolean {
    return bornAtUnixMs <= (this.#departed.get(instanceId) ?? -1);
  }

  #goOn(known: LocalServer, heartbeat: BackendHeartbeat, nowMs: number): HeartbeatEffect {
    const isDraining = heartbeat.state === BackendServerState.Draining;
    const isLate = heartbeat.sequence <= known.heartbeat.sequence;
    // That a server drains is final, so that a late heartbeat says it as well as one in order.
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
