import type { OwnServer } from '@sequoiafield/admission';
import { NodeError } from '@sequoiafield/errors';
import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { request } from 'undici';
import type { BackendServerAnnouncement } from './backend-server-announcement.js';

const probeIntervalMs = 1000;
const probeTimeoutMs = 1000;
/**
 * Time after a drain in which only an announcement of a process with a later start cancels the
 * drain. Announcements are repeated every few seconds, and one sent before the drain may arrive
 * after it.
 */
export const drainCooldownMs = 3000;

/** Effect of an announcement on the state of the backend server. */
export enum AnnouncementEffect {
  /** The backend server was already known, or became known for the first time. */
  Known = 'known',
  /** The backend server had drained and returned; the members have to be notified. */
  Returned = 'returned',
  /** The backend server has just drained, and the announcement may be older than the drain. */
  TooEarly = 'too-early',
}

/** Address, service and version of the backend server according to the settings. */
export interface ExpectedBackendServer extends BackendServerAnnouncement {
  readonly healthPath: string;
}

/**
 * Tracks the backend server beside this node. It becomes known when it announces itself, or when it
 * answers a probe, which covers a restart of the node alone. Any answer of the health page counts,
 * whatever its status.
 */
export class BackendServerMonitor implements System {
  readonly name = 'backend-watch';

  #server: OwnServer | undefined;

  #nextProbeAtMs = 0;

  /** Time of the drain, until the server returns; it may precede the first announcement. */
  #drainedAtMs: number | undefined;

  #processStartUnixMs: number | undefined;

  constructor(private readonly expected: ExpectedBackendServer) {}

  current(): OwnServer | undefined {
    return this.#server;
  }

  /**
   * Processes an announcement. A process with a later start than the known one, and a backend
   * server that returns after a drain, start cold.
   *
   * @throws NodeError if the service, version, address or port differs from the settings: members
   * know this instance by them, so the node has to be restarted with new settings.
   */
  receiveAnnouncement(announcement: BackendServerAnnouncement): AnnouncementEffect {
    this.#checkExpected(announcement);
    const { startedAtUnixMs } = announcement;
    const knownStartUnixMs = this.#processStartUnixMs;
    const areStartsKnown = startedAtUnixMs !== undefined && knownStartUnixMs !== undefined;
    const isLaterProcess = areStartsKnown && startedAtUnixMs > knownStartUnixMs;
    const drainedAtMs = this.#drainedAtMs;
    const hasReturned = drainedAtMs !== undefined;
    const hasCooldownPassed = hasReturned && monotonicNowMs() - drainedAtMs >= drainCooldownMs;
    if (hasReturned && !hasCooldownPassed && !isLaterProcess) return AnnouncementEffect.TooEarly;
    this.#drainedAtMs = undefined;
    // After a drain, a new process may report an earlier start if the clock was set back.
    const isNewProcess = hasReturned || isLaterProcess || knownStartUnixMs === undefined;
    if (isNewProcess) this.#processStartUnixMs = startedAtUnixMs ?? knownStartUnixMs;
    // Announcements are repeated, so that a restarted node learns of its backend server. A repeated
    // one leaves the known state unchanged.
    if (!this.#server || hasReturned || isLaterProcess) this.#setKnown();
    return hasReturned ? AnnouncementEffect.Returned : AnnouncementEffect.Known;
  }

  drain(): void {
    this.#drainedAtMs ??= monotonicNowMs();
    if (this.#server) this.#server = { ...this.#server, isDraining: true };
  }

  run({ nowMs }: Tick): void {
    const isStateKnown = this.#server !== undefined || this.#drainedAtMs !== undefined;
    if (isStateKnown || nowMs < this.#nextProbeAtMs) return;
    this.#nextProbeAtMs = nowMs + probeIntervalMs;
    this.#probe().then(
      (hasAnswered) =>
        hasAnswered && !this.#server && this.#drainedAtMs === undefined && this.#setKnown(),
      () => undefined,
    );
  }

  #checkExpected({ service, version, address, port }: BackendServerAnnouncement): void {
    const { expected } = this;
    const isExpected =
      service === expected.service &&
      version === expected.version &&
      address === expected.address &&
      port === expected.port;
    if (isExpected) return;
    throw new NodeError(
      `Backend server ${service} ${version} at ${address}:${port} does not match the settings, ` +
        `which expect ${expected.service} ${expected.version} at ${expected.address}:${expected.port}`,
    );
  }

  async #probe(): Promise<boolean> {
    const { address, port, healthPath } = this.expected;
    const response = await request(`http://${address}:${port}${healthPath}`, {
      headersTimeout: probeTimeoutMs,
      bodyTimeout: probeTimeoutMs,
    });
    await response.body.dump();
    return true;
  }

  #setKnown(): void {
    this.#server = {
      service: this.expected.service,
      backendVersion: this.expected.version,
      isDraining: false,
      startedAtMs: monotonicNowMs(),
    };
  }
}
