import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';

/** Body of an announcement to the admin interface of the node. */
export interface BackendServerAnnouncement {
  readonly service: string;
  readonly version: string;
  readonly address: string;
  readonly port: number;
  readonly startedAtUnixMs: number;
}

/** Interval between announcements; a restarted node learns its backend server again within it. */
const announceIntervalMs = 2000;
const announceTimeoutMs = 1000;

/**
 * Announces a backend server to its node until the server drains.
 *
 * @example
 * const announcer = new Announcer('http://127.0.0.1:9000', announcement);
 * void announcer.run();
 * await announcer.drain();
 */
export class Announcer {
  #isDraining = false;

  constructor(
    private readonly adminUrl: string,
    private readonly announcement: BackendServerAnnouncement,
  ) {}

  async run(): Promise<void> {
    while (!this.#isDraining) {
      const isAnnounced = await this.#post('announce');
      // A failed announcement is repeated sooner, because the node may not listen yet.
      await delay(isAnnounced ? announceIntervalMs : announceIntervalMs / 10, undefined, {
        ref: false,
      });
    }
  }

  async drain(): Promise<void> {
    this.#isDraining = true;
    await this.#post('drain');
  }

  async #post(action: 'announce' | 'drain'): Promise<boolean> {
    try {
      const { statusCode, body } = await request(`${this.adminUrl}/v1/backend-server/${action}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.announcement),
        headersTimeout: announceTimeoutMs,
        bodyTimeout: announceTimeoutMs,
      });
      await body.dump();
      return statusCode < 300;
    } catch {
      return false;
    }
  }
}
