import { setTimeout as delay } from 'node:timers/promises';
import { monotonicNowMs } from '@sequoiafield/tables';
import type { CallClient } from './call-client.js';
import type { CallPlan, PlannedRequest } from './call-plan.js';
import type { OutcomeRecord } from './request-outcome.js';

/** Limits of a run; the run ends at the first that is reached. */
export interface RunLimits {
  readonly countMax: number;
  readonly durationMaxMs: number;
}

/**
 * Sends a plan as an open loop: each request is sent at its planned time, independent of answers.
 *
 * @example
 * const generator = new CallGenerator(plan, client, ['http://127.0.0.1:8080']);
 * const records = await generator.run({ countMax: 1000, durationMaxMs: 10_000 });
 */
export class CallGenerator {
  constructor(
    private readonly plan: CallPlan,
    private readonly client: CallClient,
    private readonly targets: readonly string[],
  ) {}

  async run(limits: RunLimits): Promise<readonly OutcomeRecord[]> {
    const startedAtMs = monotonicNowMs();
    const pending: Promise<OutcomeRecord>[] = [];
    for (let sent = 0; sent < limits.countMax; sent += 1) {
      const planned = this.plan.next();
      if (planned.atMs >= limits.durationMaxMs) break;
      const waitMs = startedAtMs + planned.atMs - monotonicNowMs();
      if (waitMs > 0) await delay(waitMs);
      pending.push(this.#send(planned, sent, startedAtMs));
    }
    return Promise.all(pending);
  }

  async #send(planned: PlannedRequest, index: number, startedAtMs: number): Promise<OutcomeRecord> {
    const target = this.targets[index % this.targets.length]!;
    const response = await this.client.send(target, planned);
    const { requestId, route, isIdempotent } = planned;
    const latencyMs = monotonicNowMs() - startedAtMs - planned.atMs;
    return { requestId, route, isIdempotent, latencyMs, ...response };
  }
}
