import type { OwnServer } from '@sequoiafield/admission';
import { NodeError } from '@sequoiafield/errors';
import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { request } from 'undici';
import type { BackendServerAnnouncement } from './backend-server-announcement.js';

const probeIntervalMs = 1000;
const probeTimeoutMs = 1000;
/**
 * Announcements are repeated every few seconds, and one that was sent before the drain may arrive
 * after it. Until this time has passed, only a process with a later start counts as having returned.
 */
export const drainCooldownMs = 3000;

/** What an announcement changed. */
export enum AnnouncementEffect {
  /** The backend server was known already, or it is now for the first time. */
  Known = 'known',
  /** It drained and is back, so that the members have to be told. */
  Returned = 'returned',
  /** It drained a moment ago, and the announcement may be older than that. */
  TooEarly = 'too-early',
}

/** Where the settings expect the backend server, and what it runs. */
export interface ExpectedBackendServer extends BackendServerAnnouncement {
  readonly healthPath: string;
}

/**
 * Knows the backend server beside this node: it announces itself, or it answers a probe after the
 * node alone was restarted. What its health page says does not matter, only that it answers.
 */
export class BackendServerMonitor implements System {
  readonly name = 'backend-watch';

  #server: OwnServer | undefined;

  #nextProbeAtMs = 0;

  /** Set also by a drain that came before the first announcement. */
  #drainedAtMs: number | undefined;

  #processStartUnixMs: number | undefined;

  constructor(private readonly expected: ExpectedBackendServer) {}

  current(): OwnServer | undefined {
    return this.#server;
  }

  /**
   * Takes an announcement. A process with a later start than the known one, and a backend server
   * that drained, begin as cold ones.
   *
   * @throws NodeError if it names another service, version or port than the settings: members know
   * this instance by those, so the node has to be restarted with new settings.
   */
  receiveAnnouncement(announcement: BackendServerAnnouncement): AnnouncementEffect {
    this.#checkExpected(announcement);
    const { startedAtUnixMs } = announcement;
    const knownStartUnixMs = this.#processStartUnixMs;
    const hasStarts = startedAtUnixMs !== undefined && knownStartUnixMs !== undefined;
    const isLaterProcess = hasStarts && startedAtUnixMs > knownStartUnixMs;
    const drainedAtMs = this.#drainedAtMs;
    const hasReturned = drainedAtMs !== undefined;
    const isSettled = hasReturned && monotonicNowMs() - drainedAtMs >= drainCooldownMs;
    if (hasReturned && !isSettled && !isLaterProcess) return AnnouncementEffect.TooEarly;
    this.#drainedAtMs = undefined;
    // After a drain the start may also be an earlier one, if the clock was set back.
    const isOtherProcess = hasReturned || isLaterProcess || knownStartUnixMs === undefined;
    if (isOtherProcess) this.#processStartUnixMs = startedAtUnixMs ?? knownStartUnixMs;
    // Announcements repeat, so that a restarted node hears of its backend server.
    if (!this.#server || hasReturned || isLaterProcess) this.#becomeKnown();
    return hasReturned ? AnnouncementEffect.Returned : AnnouncementEffect.Known;
  }

  drain(): void {
    this.#drainedAtMs ??= monotonicNowMs();
    if (this.#server) this.#server = { ...this.#server, isDraining: true };
  }

  run({ nowMs }: Tick): void {
    const isDecided = this.#server !== undefined || this.#drainedAtMs !== undefined;
    if (isDecided || nowMs < this.#nextProbeAtMs) return;
    this.#nextProbeAtMs = nowMs + probeIntervalMs;
    this.#probe().then(
      (isThere) =>
        isThere && !this.#server && this.#drainedAtMs === undefined && this.#becomeKnown(),
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

  #becomeKnown(): void {
    this.#server = {
      service: this.expected.service,
      backendVersion: this.expected.version,
      isDraining: false,
      startedAtMs: monotonicNowMs(),
    };
  }
}
