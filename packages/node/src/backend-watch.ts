import type { OwnServer } from '@sequoiafield/admission';
import { NodeError } from '@sequoiafield/errors';
import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { request } from 'undici';
import type { BackendServerAnnouncement } from './local-backend-server.js';

const probeIntervalMs = 1000;
const probeTimeoutMs = 1000;

/** Where the settings expect the backend server, and what it runs. */
export interface ExpectedBackendServer extends BackendServerAnnouncement {
  readonly healthPath: string;
}

/**
 * Knows the backend server beside this node: it announces itself, or it answers a probe after the
 * node alone was restarted. What its health page says does not matter, only that it answers.
 */
export class BackendWatch implements System {
  readonly name = 'backend-watch';

  #server: OwnServer | undefined;

  #nextProbeAtMs = 0;

  constructor(private readonly expected: ExpectedBackendServer) {}

  current(): OwnServer | undefined {
    return this.#server;
  }

  /**
   * Takes an announcement.
   *
   * @throws NodeError if it names another service, version or port than the settings: members know
   * this instance by those, so the node has to be restarted with new settings. Also if the backend
   * server drained: members count this incarnation of the node as leaving for good.
   */
  announce({ service, version, address, port }: BackendServerAnnouncement): void {
    const { expected } = this;
    const isExpected =
      service === expected.service &&
      version === expected.version &&
      address === expected.address &&
      port === expected.port;
    if (!isExpected) {
      throw new NodeError(
        `Backend server ${service} ${version} at ${address}:${port} does not match the settings, ` +
          `which expect ${expected.service} ${expected.version} at ${expected.address}:${expected.port}`,
      );
    }
    if (this.#server?.isDraining) {
      throw new NodeError('The backend server drained; restart its node to take it in again');
    }
    // Announcements repeat, so that a restarted node hears of its backend server.
    if (!this.#server) this.#becomeKnown();
  }

  drain(): void {
    if (this.#server) this.#server = { ...this.#server, isDraining: true };
  }

  run({ nowMs }: Tick): void {
    if (this.#server || nowMs < this.#nextProbeAtMs) return;
    this.#nextProbeAtMs = nowMs + probeIntervalMs;
    this.#probe().then(
      (isThere) => isThere && !this.#server && this.#becomeKnown(),
      () => undefined,
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
