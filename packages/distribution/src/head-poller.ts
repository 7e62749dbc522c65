import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  monotonicNowMs,
  wallNowUnixMs,
  type RandomSource,
  type System,
  type Tick,
} from '@sequoiafield/tables';
import { tickIntervalMs, type HeadRecord, type MemberView } from '@sequoiafield/types';
import type { ConfigurationStore } from './sources.js';
import { burstDelayMs, firstHeadReadsPerS, pollDelayMs, sleep, withTimeout } from './timing.js';

const readTimeoutMs = 3000;
/** Members that started within this time count as restarting together with this node. */
const recentStartMs = 30_000;

/** What a poller tells its node. */
export interface HeadPollerOptions {
  readonly expectedFleetSize: number;
  onHead(head: HeadRecord | undefined, startedAtMs: number): void;
  onFailure(): void;
}

/**
 * Reads the head at a rate that keeps the store's load the same for any fleet size.
 *
 * @example
 * const poller = new HeadPoller(source, members, random, logger, listener);
 */
export class HeadPoller implements System {
  readonly name = 'head-poller';

  #nextAtMs: number | undefined;

  #isBusy = false;

  #isStarted = false;

  #isFleetKnown = false;

  #failures = 0;

  #reads = 0;

  constructor(
    private readonly source: ConfigurationStore,
    private readonly members: MemberView,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly listener: HeadPollerOptions,
  ) {}

  /** Head reads so far. */
  get reads(): number {
    return this.#reads;
  }

  /** Whether the last read failed. */
  get isStoreDown(): boolean {
    return this.#failures > 0;
  }

  start(): void {
    this.#isStarted = true;
  }

  stop(): void {
    this.#isStarted = false;
  }

  run(tick: Tick): void {
    if (!this.#isStarted || this.#isBusy) return;
    this.#planFirstRead(tick.nowMs);
    if (this.#nextAtMs === undefined) return;
    const waitMs = this.#nextAtMs - tick.nowMs;
    if (waitMs >= tickIntervalMs) return;
    this.#isBusy = true;
    this.#pollAfter(waitMs).finally(() => {
      this.#isBusy = false;
      const fleetSize = Math.max(this.members.fleetSize(), this.listener.expectedFleetSize);
      const delayMs = pollDelayMs(fleetSize, this.#failures, this.random);
      this.#nextAtMs = monotonicNowMs() + delayMs;
    });
  }

  /**
   * Spreads the first read over the nodes that restart at the same time. While less than half of
   * the expected fleet is known, all of it may be restarting.
   */
  #planFirstRead(nowMs: number): void {
    if (this.#isFleetKnown) return;
    const { expectedFleetSize } = this.listener;
    this.#isFleetKnown = this.members.fleetSize() >= expectedFleetSize / 2;
    if (!this.#isFleetKnown && this.#nextAtMs !== undefined) return;
    const nodes = this.#isFleetKnown ? this.#recentlyStarted() : expectedFleetSize;
    const atMs = nowMs + burstDelayMs(nodes, this.random, firstHeadReadsPerS);
    this.#nextAtMs = this.#reads > 0 ? this.#nextAtMs : Math.min(this.#nextAtMs ?? atMs, atMs);
  }

  #recentlyStarted(): number {
    const sinceUnixMs = wallNowUnixMs() - recentStartMs;
    return [...this.members.all()].filter((row) => row.incarnation > sinceUnixMs).length;
  }

  /**
   * Reads between two ticks: reads at the ticks would coincide on nodes whose ticks do, and each
   * node that reads a new head before it hears of it also reads its sections from the store.
   */
  async #pollAfter(waitMs: number): Promise<void> {
    if (waitMs > 0) await sleep(waitMs);
    if (this.#isStarted) await this.#poll();
  }

  async #poll(): Promise<void> {
    const startedAtMs = monotonicNowMs();
    this.#reads += 1;
    try {
      const head = await withTimeout(this.source.readHead(), readTimeoutMs, 'Head read');
      if (this.#failures > 0) this.logger.log(logEvents.storeAvailable);
      this.#failures = 0;
      if (this.#isStarted) this.listener.onHead(head?.record, startedAtMs);
    } catch (error) {
      if (this.#failures === 0) {
        const reason = error instanceof Error ? error.message : String(error);
        this.logger.log(logEvents.storeUnavailable, { reason });
      }
      this.#failures += 1;
      this.listener.onFailure();
    }
  }
}
