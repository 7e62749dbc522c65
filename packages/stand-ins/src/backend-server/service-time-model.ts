import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { CallFaultKind, type BackendServerBehaviour } from './behaviour.js';

/** Service time and fault of one call. */
export interface ModelledCall {
  readonly durationMs: number;
  readonly fault: CallFaultKind;
}

/**
 * Computes the service time and the fault of each call from the behaviour, the warmth and the
 * number of running calls.
 *
 * @example
 * const model = new ServiceTimeModel(new SeededRandom(1));
 * model.turnCold();
 * model.modelCall(behaviour, '/settle/17', 4);
 */
export class ServiceTimeModel {
  readonly #startedAtMs = monotonicNowMs();

  #coldSinceMs = monotonicNowMs();

  constructor(private readonly random: RandomSource) {}

  turnCold(): void {
    this.#coldSinceMs = monotonicNowMs();
  }

  /** Returns how warm the server is, from 0 (cold) to 1 (warm). */
  warmth(behaviour: BackendServerBehaviour): number {
    if (behaviour.coldMs <= 0) return 1;
    return Math.min(1, (monotonicNowMs() - this.#coldSinceMs) / behaviour.coldMs);
  }

  /** Models a call, counted in `runningCalls`. Above its capacity a server slows in proportion. */
  modelCall(behaviour: BackendServerBehaviour, path: string, runningCalls: number): ModelledCall {
    const warmth = this.warmth(behaviour);
    const capacity = behaviour.coldSlots + (behaviour.slots - behaviour.coldSlots) * warmth;
    const coldFactor = behaviour.coldFactor + (1 - behaviour.coldFactor) * warmth;
    const jitter = 1 + ((this.random.next() * 2 - 1) * behaviour.jitterPercent) / 100;
    const overload = Math.max(1, runningCalls / capacity);
    const fault = this.#selectFault(behaviour, path, runningCalls);
    const extraMs = fault === CallFaultKind.Slow ? behaviour.fault.slowMs : 0;
    return {
      durationMs: behaviour.serviceTimeMs * jitter * coldFactor * overload + extraMs,
      fault,
    };
  }

  #selectFault(
    { fault }: BackendServerBehaviour,
    path: string,
    runningCalls: number,
  ): CallFaultKind {
    const isDue = monotonicNowMs() - this.#startedAtMs >= fault.afterS * 1000;
    const applies =
      isDue &&
      runningCalls >= fault.runningAtLeast &&
      path.startsWith(fault.pathPrefix) &&
      this.random.next() * 100 < fault.percent;
    return applies ? fault.kind : CallFaultKind.None;
  }
}
