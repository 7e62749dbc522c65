import { wallNowUnixMs } from '@sequoiafield/tables';
import {
  BackendServerState,
  type BackendDeregistration,
  type BackendHeartbeat,
  type DepartedServer,
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
  /** Heartbeat ignored: it belongs to an earlier incarnation or arrived out of order. */
  Ignored = 'ignored',
  /** Heartbeat refused: its service or address is not that of the settings. */
  Refused = 'refused',
  /** The known incarnation continues. */
  Continued = 'continued',
  /** A new incarnation replaces the known one. */
  Replaced = 'replaced',
  /** The known incarnation starts to leave. */
  Leaving = 'leaving',
}

/** Heartbeat intervals without a heartbeat or an answer after which a server counts as silent. */
const silentHeartbeatIntervalsMax = 2.5;
/** Departed servers that are kept, so that their late heartbeats are ignored. */
const departedServersMax = 16;

/** Options of `LocalServerTracker`: the server that the settings of the node name. */
export interface LocalServerTrackerOptions {
  readonly endpoint: string;
  readonly service: string;
  readonly heartbeatIntervalMs: number;
}

/**
 * Tracks the backend server beside this node by its heartbeats, which may be late, out of order, from
 * a former incarnation or foreign. One that contradicts the settings is refused. A server that a foreign
 * heartbeat replaced is used again once no heartbeat follows the foreign one.
 *
 * @example
 * const tracker = new LocalServerTracker({ endpoint, service, heartbeatIntervalMs: 1500 });
 * tracker.recordHeartbeat(heartbeat, monotonicNowMs());
 * tracker.current()?.heartbeat.version;
 */
export class LocalServerTracker {
  #server: LocalServer | undefined;

  /** Servers that announced their leaving, the latest announcement last. */
  #departed: readonly DepartedServer[] = [];

  constructor(private readonly options: LocalServerTrackerOptions) {}

  /** Returns the server, or undefined before its first heartbeat and after its deregistration. */
  current(): LocalServer | undefined {
    return this.#server;
  }

  recordHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatEffect {
    const { endpoint, service } = this.options;
    if (heartbeat.endpoint !== endpoint || heartbeat.service !== service)
      return HeartbeatEffect.Refused;
    const isDeparted = this.#isDeparted(heartbeat);
    if (heartbeat.state === BackendServerState.Draining) this.#keepDeparted(heartbeat);
    const known = this.#server;
    if (known?.heartbeat.instanceId === heartbeat.instanceId) {
      const { bornAtUnixMs } = known.heartbeat;
      if (heartbeat.bornAtUnixMs === bornAtUnixMs)
        return this.#continueIncarnation(known, heartbeat, nowMs);
    }
    if (isDeparted) return HeartbeatEffect.Ignored;
    if (known && !this.#mayReplace(known, heartbeat, nowMs)) return HeartbeatEffect.Ignored;
    this.#server = this.#toServer(heartbeat, false, nowMs);
    return HeartbeatEffect.Replaced;
  }

  /**
   * Records a deregistration, also of a server that this process does not know, since its
   * acknowledgement binds all the same. Returns whether it belongs to the known server.
   */
  recordDeregistration({ instanceId, bornAtUnixMs }: BackendDeregistration): boolean {
    const known = this.#server?.heartbeat;
    const isSameId = known?.instanceId === instanceId;
    const departedBornAtUnixMs = bornAtUnixMs ?? (isSameId ? known.bornAtUnixMs : wallNowUnixMs());
    this.#keepDeparted({ instanceId, bornAtUnixMs: departedBornAtUnixMs });
    const isKnown = isSameId && departedBornAtUnixMs >= known.bornAtUnixMs;
    if (isKnown) this.#server = undefined;
    return isKnown;
  }

  /** Records a server that left a former process of this node; returns whether that was not known. */
  recordDeparted(departed: DepartedServer): boolean {
    if (this.#isDeparted(departed)) return false;
    this.#keepDeparted(departed);
    const known = this.#server;
    if (known && this.#isDeparted(known.heartbeat)) this.#server = { ...known, isLeaving: true };
    return true;
  }

  /** Returns the server that announced its leaving last, or undefined if none did. */
  lastDeparted(): DepartedServer | undefined {
    return this.#departed.at(-1);
  }

  /** Whether the server has sent neither a heartbeat nor, since `lastAnswerAtMs`, an answer for too long. */
  isSilent({ heartbeatAtMs }: LocalServer, nowMs: number, lastAnswerAtMs = heartbeatAtMs): boolean {
    const silenceMaxMs = silentHeartbeatIntervalsMax * this.options.heartbeatIntervalMs;
    return nowMs - Math.max(heartbeatAtMs, lastAnswerAtMs) > silenceMaxMs;
  }

  #isDeparted({ instanceId, bornAtUnixMs }: DepartedServer): boolean {
    return this.#departed.some(
      (departed) => departed.instanceId === instanceId && departed.bornAtUnixMs >= bornAtUnixMs,
    );
  }

  #keepDeparted({ instanceId, bornAtUnixMs }: DepartedServer): void {
    if (this.#isDeparted({ instanceId, bornAtUnixMs })) return;
    const others = this.#departed.filter((departed) => departed.instanceId !== instanceId);
    this.#departed = [...others, { instanceId, bornAtUnixMs }].slice(-departedServersMax);
  }

  /** A later incarnation replaces the known one, and so does another server once that is silent. */
  #mayReplace(known: LocalServer, heartbeat: BackendHeartbeat, nowMs: number): boolean {
    if (heartbeat.bornAtUnixMs > known.heartbeat.bornAtUnixMs) return true;
    const isOther = heartbeat.instanceId !== known.heartbeat.instanceId;
    return isOther && this.isSilent(known, nowMs);
  }

  #continueIncarnation(
    known: LocalServer,
    heartbeat: BackendHeartbeat,
    nowMs: number,
  ): HeartbeatEffect {
    const isDraining = heartbeat.state === BackendServerState.Draining;
    // A foreign heartbeat may have used a sequence number that the server itself has not reached.
    const isLate = heartbeat.sequence <= known.heartbeat.sequence && !this.isSilent(known, nowMs);
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
