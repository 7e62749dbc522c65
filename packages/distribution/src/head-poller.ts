import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  monotonicNowMs,
  wallNowUnixMs,
  type RandomSource,
  type System,
  type Tick,
} from '@sequoiafield/tables';
import { tickIntervalMs, type HeadRecord, type MemberView } from '@sequoiafield/types';
import type { ConfigurationStore } from './configuration-store.js';
import { burstDelayMs, firstHeadReadsPerS, pollDelayMs, sleep, withTimeout } from './timing.js';

const readTimeoutMs = 3000;
/** Members that started within this time are counted as restarting together with this node. */
const recentStartAgeMaxMs = 30_000;

/** Settings and callbacks of a `HeadPoller`. */
export interface HeadPollerOptions {
  readonly expectedFleetSize: number;
  onHead(head: HeadRecord | undefined, startedAtMs: number): void;
  onFailure(): void;
}

/**
 * Reads the head at a rate that keeps the load of the store independent of the fleet size.
 *
 * @example
 * const poller = new HeadPoller(configurationStore, members, random, logger, options);
 */
export class HeadPoller implements System {
  readonly name = 'head-poller';

  #nextAtMs: number | undefined;

  #isReading = false;

  #isStarted = false;

  #isFleetKnown = false;

  #failures = 0;

  #reads = 0;

  constructor(
    private readonly configurationStore: ConfigurationStore,
    private readonly members: MemberView,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly options: HeadPollerOptions,
  ) {}

  /** Number of head reads so far. */
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
    if (!this.#isStarted || this.#isReading) return;
    this.#scheduleFirstRead(tick.nowMs);
    if (this.#nextAtMs === undefined) return;
    const waitMs = this.#nextAtMs - tick.nowMs;
    if (waitMs >= tickIntervalMs) return;
    this.#isReading = true;
    this.#pollAfter(waitMs).finally(() => {
      this.#isReading = false;
      const fleetSize = Math.max(this.members.fleetSize(), this.options.expectedFleetSize);
      const delayMs = pollDelayMs(fleetSize, this.#failures, this.random);
      this.#nextAtMs = monotonicNowMs() + delayMs;
    });
  }

  /**
   * Spreads the first reads of the nodes that restart at the same time. While less than half of the
   * expected fleet is known, the whole fleet is assumed to be restarting.
   */
  #scheduleFirstRead(nowMs: number): void {
    if (this.#isFleetKnown) return;
    const { expectedFleetSize } = this.options;
    this.#isFleetKnown = this.members.fleetSize() >= expectedFleetSize / 2;
    if (!this.#isFleetKnown && this.#nextAtMs !== undefined) return;
    const nodeCount = this.#isFleetKnown ? this.#recentlyStarted() : expectedFleetSize;
    const atMs = nowMs + burstDelayMs(nodeCount, this.random, firstHeadReadsPerS);
    this.#nextAtMs = this.#reads > 0 ? this.#nextAtMs : Math.min(this.#nextAtMs ?? atMs, atMs);
  }

  #recentlyStarted(): number {
    const sinceUnixMs = wallNowUnixMs() - recentStartAgeMaxMs;
    return [...this.members.all()].filter((row) => row.incarnation > sinceUnixMs).length;
  }

  /**
   * Reads between two ticks. Reads at the ticks would coincide on nodes whose ticks coincide, and each
   * node that reads a new head before gossip delivers it also reads its sections from the store.
   */
  async #pollAfter(waitMs: number): Promise<void> {
    if (waitMs > 0) await sleep(waitMs);
    if (this.#isStarted) await this.#poll();
  }

  async #poll(): Promise<void> {
    const startedAtMs = monotonicNowMs();
    this.#reads += 1;
    try {
      const head = await withTimeout(
        this.configurationStore.readHead(),
        readTimeoutMs,
        'Head read',
      );
      if (this.#failures > 0) this.logger.log(logEvents.storeAvailable);
      this.#failures = 0;
      if (this.#isStarted) this.options.onHead(head?.record, startedAtMs);
    } catch (error) {
      if (this.#failures === 0) {
        const reason = error instanceof Error ? error.message : String(error);
        this.logger.log(logEvents.storeUnavailable, { reason });
      }
      this.#failures += 1;
      this.options.onFailure();
    }
  }
}
