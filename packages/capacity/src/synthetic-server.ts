import { SeededRandom, setMonotonicClock } from '@sequoiafield/tables';
import { CapacityCallEnd, type BegunCall, type CapacityEstimator } from './capacity-estimator.js';

/** Server of a test: how its work slows down, and what disturbs it. */
export interface SyntheticServerOptions {
  readonly slots: number;
  /** Running calls, as a share of the slots, beyond which they slow each other down. */
  readonly kneeShare: number;
  /** Slowdown beyond the knee: 1 keeps the throughput as it is, 2 lowers it. */
  readonly steepness: number;
  readonly speed: number;
  /** Standard deviation of the logarithm of the work of a call. */
  readonly spread: number;
  /** Work of each route in ms. */
  readonly routeWorkMs: readonly number[];
  /** Time in which a call waits for another service, by time. */
  readonly innerDelayMs?: (nowMs: number) => number;
  /** Factor of the time that work takes, by time. */
  readonly slowness?: (nowMs: number) => number;
  /** Arrivals over what the server can do with one call per slot at speed 1, by time. */
  readonly load: (nowMs: number) => number;
}

interface SyntheticCall {
  readonly begun: BegunCall;
  readonly workMs: number;
  readonly beganAtMs: number;
  remainingMs: number;
  /** Remaining work at which the call waits for another service; below 0 if it does not wait. */
  waitsAtMs: number;
  waitsUntilMs: number;
}

/** What a server did in a run. */
export interface SyntheticResult {
  readonly doneWorkMs: number;
  readonly meanLatencyMs: number;
  /** Settled limit and speed in steps of `sampleIntervalMs`. */
  readonly limits: readonly number[];
  readonly speeds: readonly number[];
}

export const sampleIntervalMs = 100;
const queueMax = 24;
const heavyShare = 0.03;
const heavyFactor = 7;
const stepMs = 2;

/** Server with a knee that shares its processor among the calls that do not wait. */
class SyntheticServer {
  readonly #random: SeededRandom;

  readonly #running = new Set<SyntheticCall>();

  readonly #queue: { route: number; workMs: number }[] = [];

  readonly #knee: number;

  readonly #meanWorkMs: number;

  #nextArrivalAtMs = 0;

  doneWorkMs = 0;

  #doneCount = 0;

  #latencySumMs = 0;

  constructor(
    private readonly options: SyntheticServerOptions,
    private readonly estimator: CapacityEstimator,
    seed: number,
  ) {
    this.#random = new SeededRandom(seed);
    this.#knee = options.kneeShare * options.slots;
    const { routeWorkMs } = options;
    this.#meanWorkMs = routeWorkMs.reduce((sum, workMs) => sum + workMs, 0) / routeWorkMs.length;
  }

  get meanLatencyMs(): number {
    return this.#latencySumMs / Math.max(1, this.#doneCount);
  }

  step(nowMs: number): void {
    this.#arrive(nowMs);
    this.#work(nowMs);
    this.#start(nowMs);
  }

  #arrive(nowMs: number): void {
    const { load, slots, routeWorkMs, spread } = this.options;
    while (this.#nextArrivalAtMs <= nowMs) {
      const gapMs = this.#meanWorkMs / slots / load(nowMs);
      this.#nextArrivalAtMs += -Math.log(1 - this.#random.next()) * gapMs;
      const route = this.#random.nextInt(routeWorkMs.length);
      const heavy = this.#random.next() < heavyShare ? heavyFactor : 1;
      const normal =
        Math.sqrt(-2 * Math.log(1 - this.#random.next())) *
        Math.cos(2 * Math.PI * this.#random.next());
      const factor = heavy * Math.exp(spread * normal - spread ** 2 / 2);
      if (this.#queue.length < queueMax) {
        this.#queue.push({ route, workMs: (routeWorkMs[route] ?? 0) * factor });
      }
    }
  }

  #work(nowMs: number): void {
    const { slowness, speed, steepness } = this.options;
    let activeCount = 0;
    for (const call of this.#running) activeCount += Number(call.waitsUntilMs <= nowMs);
    const stretch = 1 + steepness * Math.max(0, activeCount / this.#knee - 1);
    const progressMs = (stepMs * speed) / stretch / (slowness?.(nowMs) ?? 1);
    for (const call of this.#running) {
      if (call.waitsUntilMs <= nowMs) {
        call.remainingMs -= progressMs;
        if (call.remainingMs <= 0) this.#finish(call, nowMs);
        else if (call.remainingMs <= call.waitsAtMs) {
          call.waitsAtMs = Number.NEGATIVE_INFINITY;
          call.waitsUntilMs = nowMs + (this.options.innerDelayMs?.(nowMs) ?? 0);
        }
      }
    }
  }

  #finish(call: SyntheticCall, nowMs: number): void {
    this.#running.delete(call);
    const latencyMs = nowMs - call.beganAtMs;
    this.estimator.end(call.begun, CapacityCallEnd.Answered, latencyMs);
    this.doneWorkMs += call.workMs;
    this.#doneCount += 1;
    this.#latencySumMs += latencyMs;
  }

  #start(nowMs: number): void {
    const { slots } = this.options;
    while (this.#running.size < this.estimator.admissionLimit(slots)) {
      const next = this.#queue.shift();
      if (!next) return;
      const begun = this.estimator.begin(`route-${next.route}`, this.#running.size, slots);
      const { workMs } = next;
      this.#running.add({
        ...{ begun, workMs, remainingMs: workMs, beganAtMs: nowMs },
        ...{ waitsAtMs: workMs / 2, waitsUntilMs: nowMs },
      });
    }
  }
}

/** Plays a server for a time of the clock and returns what it did; the clock is replaced meanwhile. */
export const playServer = (
  options: SyntheticServerOptions,
  createEstimator: () => CapacityEstimator,
  durationMs: number,
  seed: number,
): SyntheticResult => {
  let nowMs = 0;
  setMonotonicClock({ nowMs: () => nowMs });
  try {
    const estimator = createEstimator();
    const server = new SyntheticServer(options, estimator, seed);
    const limits: number[] = [];
    const speeds: number[] = [];
    for (; nowMs < durationMs; nowMs += stepMs) {
      server.step(nowMs);
      if (nowMs % sampleIntervalMs === 0) {
        limits.push(estimator.limit(options.slots));
        speeds.push(estimator.speed);
      }
    }
    const { doneWorkMs, meanLatencyMs } = server;
    return { doneWorkMs, meanLatencyMs, limits, speeds };
  } finally {
    setMonotonicClock();
  }
};
