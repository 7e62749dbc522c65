import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { FaultKind, type Behaviour } from './behaviour.js';

/** What happens to one call. */
export interface PlannedCall {
  readonly durationMs: number;
  readonly fault: FaultKind;
}

/**
 * Time and fault of each call from the behaviour, the warmth and the running calls.
 *
 * @example
 * const model = new ServiceModel(new SeededRandom(1));
 * model.turnCold();
 * model.plan(behaviour, '/settle/17', 4);
 */
export class ServiceModel {
  readonly #startedAtMs = monotonicNowMs();

  #coldSinceMs = monotonicNowMs();

  constructor(private readonly random: RandomSource) {}

  turnCold(): void {
    this.#coldSinceMs = monotonicNowMs();
  }

  /** 0 when cold, 1 when warm. */
  warmth(behaviour: Behaviour): number {
    if (behaviour.coldMs <= 0) return 1;
    return Math.min(1, (monotonicNowMs() - this.#coldSinceMs) / behaviour.coldMs);
  }

  /** `running` counts this call. A server over its capacity slows down in proportion. */
  plan(behaviour: Behaviour, path: string, running: number): PlannedCall {
    const warmth = this.warmth(behaviour);
    const capacity = behaviour.coldSlots + (behaviour.slots - behaviour.coldSlots) * warmth;
    const coldFactor = behaviour.coldFactor + (1 - behaviour.coldFactor) * warmth;
    const jitter = 1 + ((this.random.next() * 2 - 1) * behaviour.jitterPercent) / 100;
    const overload = Math.max(1, running / capacity);
    const fault = this.#faultOf(behaviour, path, running);
    const extraMs = fault === FaultKind.Slow ? behaviour.fault.slowMs : 0;
    return {
      durationMs: behaviour.serviceTimeMs * jitter * coldFactor * overload + extraMs,
      fault,
    };
  }

  #faultOf({ fault }: Behaviour, path: string, running: number): FaultKind {
    const isDue = monotonicNowMs() - this.#startedAtMs >= fault.afterS * 1000;
    const applies =
      isDue &&
      running >= fault.runningAtLeast &&
      path.startsWith(fault.pathPrefix) &&
      this.random.next() * 100 < fault.percent;
    return applies ? fault.kind : FaultKind.None;
  }
}
