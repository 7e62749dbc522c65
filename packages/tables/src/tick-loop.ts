import { stalePauseMs, tickIntervalMs } from '@sequoiafield/types';
import { monotonicNowMs, wallNowUnixMs } from './clock.js';

/** Times of one tick. */
export interface Tick {
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Time since the previous tick; 0 on the first tick. */
  readonly elapsedMs: number;
  /** True when the process was paused for longer than `stalePauseMs`. */
  readonly wasPaused: boolean;
}

/** Processes the tables once per tick; must not block. */
export interface System {
  readonly name: string;
  run(tick: Tick): void;
}

/**
 * Runs systems in a fixed order every `tickIntervalMs` on the event loop of the process.
 *
 * @example
 * const loop = new TickLoop([probeSystem, shareSystem], (system, error) => log(system, error));
 * loop.start();
 */
export class TickLoop {
  #timer: NodeJS.Timeout | undefined;

  #lastTickAtMs: number | undefined;

  constructor(
    private readonly systems: readonly System[],
    private readonly onError: (systemName: string, error: unknown) => void,
  ) {}

  start(): void {
    this.#timer ??= setInterval(() => this.runOnce(), tickIntervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Runs every system once; a system that throws does not stop the others. */
  runOnce(): void {
    const nowMs = monotonicNowMs();
    const elapsedMs = this.#lastTickAtMs === undefined ? 0 : nowMs - this.#lastTickAtMs;
    this.#lastTickAtMs = nowMs;
    const tick: Tick = {
      nowMs,
      nowUnixMs: wallNowUnixMs(),
      elapsedMs,
      wasPaused: elapsedMs > stalePauseMs,
    };
    for (const system of this.systems) {
      try {
        system.run(tick);
      } catch (error) {
        this.onError(system.name, error);
      }
    }
  }
}
