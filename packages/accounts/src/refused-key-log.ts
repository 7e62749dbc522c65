import { logEvents, type Logger } from '@sequoiafield/logger';
import type { System, Tick } from '@sequoiafield/tables';

/** Time between two lines; a client that repeats a refused request at once must not fill the log. */
const lineIntervalMs = 1000;
/** Routes named in a line at most; further ones are in the counts only. */
const routesMax = 8;

/**
 * Counts the requests that were refused for their key, and logs the counts while they grow. Keys and
 * accounts are not in the log.
 *
 * @example
 * const log = new RefusedKeyLog(logger);
 * log.count('look', true);
 */
export class RefusedKeyLog implements System {
  readonly name = 'refused-keys';

  /** Requests refused since the start of the node because they had no key. */
  withoutKey = 0;

  /** Requests refused since the start of the node because their key is unknown. */
  withUnknownKey = 0;

  #loggedTotal = 0;

  #nextLineAtMs = 0;

  readonly #routes = new Set<string>();

  constructor(private readonly logger: Logger) {}

  count(route: string, hasKey: boolean): void {
    if (hasKey) this.withUnknownKey += 1;
    else this.withoutKey += 1;
    if (this.#routes.size < routesMax) this.#routes.add(route);
  }

  run(tick: Pick<Tick, 'nowMs'>): void {
    const { withoutKey, withUnknownKey } = this;
    const total = withoutKey + withUnknownKey;
    if (total === this.#loggedTotal || tick.nowMs < this.#nextLineAtMs) return;
    this.#loggedTotal = total;
    this.#nextLineAtMs = tick.nowMs + lineIntervalMs;
    const routes = [...this.#routes].join(' ');
    this.#routes.clear();
    this.logger.log(logEvents.keysRefused, { withoutKey, withUnknownKey, routes });
  }
}
