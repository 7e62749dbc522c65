import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { handleParentRequests } from './handle-parent-requests.js';
import type { LoadOptions, LoadResult, LatencySummary } from './messages.js';

const connectionsMax = 64;
const requestBytes = 200;
const requestBody = Buffer.alloc(requestBytes, 'q');
const warmUpMs = 1000;

/** Sends calls to one origin and keeps their latencies. */
class Target {
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
    const at = (percent: number): number => this.#histogram.getValueAtPercentile(percent);
    return {
      count: this.#histogram.totalCount,
      failed: this.#failed,
      p50Us: at(50),
      p99Us: at(99),
      p999Us: at(99.9),
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

/** Sends at a fixed rate whatever the answers take; `sendAt(n)` is due at n intervals. */
const runAtRate = async (
  callsPerSecond: number,
  durationMs: number,
  sendAt: (turn: number) => void,
): Promise<Histogram> => {
  const lagUs = build({ numberOfSignificantValueDigits: 3 });
  const startedAtMs = performance.now();
  const turns = Math.round((callsPerSecond * durationMs) / 1000);
  for (let turn = 0; turn < turns;) {
    const nowMs = performance.now() - startedAtMs;
    const dueTurn = (nowMs * callsPerSecond) / 1000;
    while (turn < turns && turn <= dueTurn) {
      lagUs.recordValue(Math.round((nowMs - (turn * 1000) / callsPerSecond) * 1000));
      sendAt(turn);
      turn += 1;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  return lagUs;
};

const runLoad = async (load: LoadOptions): Promise<LoadResult> => {
  const direct = new Target(load.directOrigin, load.method);
  const mesh = new Target(load.meshOrigin, load.method);
  // The paths take turns, so that noise hits both alike. The first one of a pair changes with each
  // pair: of two calls sent in one turn of the loop, the second waits for the first to be written.
  const sendAt = (turn: number): void => {
    const isDirect = turn % 2 === Math.floor(turn / 2) % 2;
    (isDirect ? direct : mesh).send();
  };
  await runAtRate(2 * load.callsPerSecond, warmUpMs, sendAt);
  direct.reset();
  mesh.reset();
  const lagUs = await runAtRate(2 * load.callsPerSecond, load.durationMs, sendAt);
  const generator = {
    lagP99Us: lagUs.getValueAtPercentile(99),
    queued: direct.queued + mesh.queued,
  };
  return { direct: await direct.finish(), mesh: await mesh.finish(), generator };
};

handleParentRequests({}, async (question) =>
  question.kind === 'load' ? runLoad(question.load) : undefined,
);
