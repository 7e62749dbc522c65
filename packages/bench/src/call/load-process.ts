import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { handleParentRequests } from './handle-parent-requests.js';
import type { LoadOptions, LoadResult, LatencySummary } from './messages.js';

const connectionsMax = 64;
const requestBytes = 200;
const requestBody = Buffer.alloc(requestBytes, 'q');
const warmUpMs = 1000;

/** Sends calls to one origin and records their latencies. */
class LoadTarget {
  readonly #pool: Pool;

  #histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

  #failed = 0;

  #queued = 0;

  readonly #running = new Set<Promise<void>>();

  constructor(
    origin: string,
    private readonly method: 'GET' | 'POST',
  ) {
    this.#pool = new Pool(origin, { connections: connectionsMax, pipelining: 1 });
  }

  get queued(): number {
    return this.#queued;
  }

  send(): void {
    if (this.#running.size >= connectionsMax) this.#queued += 1;
    const call = this.#call().finally(() => this.#running.delete(call));
    this.#running.add(call);
  }

  reset(): void {
    this.#histogram.reset();
    this.#failed = 0;
    this.#queued = 0;
  }

  async finish(): Promise<LatencySummary> {
    await Promise.all(this.#running);
    await this.#pool.close();
    const percentileUs = (percent: number): number => this.#histogram.getValueAtPercentile(percent);
    return {
      count: this.#histogram.totalCount,
      failed: this.#failed,
      p50Us: percentileUs(50),
      p99Us: percentileUs(99),
      p999Us: percentileUs(99.9),
    };
  }

  async #call(): Promise<void> {
    const startedAtMs = performance.now();
    try {
      const { method } = this;
      const body = method === 'POST' ? requestBody : null;
      const response = await this.#pool.request({ method, path: '/tabs/7', body });
      await response.body.arrayBuffer();
      if (response.statusCode !== 200) this.#failed += 1;
      this.#histogram.recordValue(Math.round((performance.now() - startedAtMs) * 1000));
    } catch {
      this.#failed += 1;
    }
  }
}

/**
 * Runs `sendCall(n)` n intervals after the start, however long the answers take, and returns the
 * delays of the calls in microseconds.
 */
const runAtRate = async (
  callsPerSecond: number,
  durationMs: number,
  sendCall: (callIndex: number) => void,
): Promise<Histogram> => {
  const lagUs = build({ numberOfSignificantValueDigits: 3 });
  const startedAtMs = performance.now();
  const callCount = Math.round((callsPerSecond * durationMs) / 1000);
  for (let callIndex = 0; callIndex < callCount;) {
    const nowMs = performance.now() - startedAtMs;
    const dueCallIndex = (nowMs * callsPerSecond) / 1000;
    while (callIndex < callCount && callIndex <= dueCallIndex) {
      lagUs.recordValue(Math.round((nowMs - (callIndex * 1000) / callsPerSecond) * 1000));
      sendCall(callIndex);
      callIndex += 1;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  return lagUs;
};

const runLoad = async (load: LoadOptions): Promise<LoadResult> => {
  const direct = new LoadTarget(load.directOrigin, load.method);
  const mesh = new LoadTarget(load.meshOrigin, load.method);
  // Direct calls and mesh calls alternate, so that noise affects both alike. Their order changes
  // with each pair, because the second of two calls sent in one iteration of the event loop waits
  // until the first is written.
  const sendCall = (callIndex: number): void => {
    const isDirect = callIndex % 2 === Math.floor(callIndex / 2) % 2;
    (isDirect ? direct : mesh).send();
  };
  await runAtRate(2 * load.callsPerSecond, warmUpMs, sendCall);
  direct.reset();
  mesh.reset();
  const lagUs = await runAtRate(2 * load.callsPerSecond, load.durationMs, sendCall);
  const generator = {
    lagP99Us: lagUs.getValueAtPercentile(99),
    queued: direct.queued + mesh.queued,
  };
  return { direct: await direct.finish(), mesh: await mesh.finish(), generator };
};

handleParentRequests({}, async (request) =>
  request.kind === 'load' ? runLoad(request.load) : undefined,
);
