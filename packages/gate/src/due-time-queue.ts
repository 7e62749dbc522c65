/** Call that waits in the queue for a slot. */
export interface DueTimeEntry {
  /** Due time on the monotonic clock; calls start in the order of their due times. */
  readonly dueAtMs: number;
}

/**
 * Queue of calls in the order of their due times. Calls with a short target go before calls with a
 * long one, and none starves, since every call becomes due.
 *
 * @example
 * queue.push(call);
 * const next = queue.shift();
 */
export class DueTimeQueue<Call extends DueTimeEntry> {
  #calls: Call[] = [];

  get size(): number {
    return this.#calls.length;
  }

  /** Returns the queued calls that go before a new call with this due time. */
  callsAhead(dueAtMs: number): readonly Call[] {
    return this.#calls.slice(0, this.#insertionIndexOf(dueAtMs));
  }

  push(call: Call): void {
    this.#calls.splice(this.#insertionIndexOf(call.dueAtMs), 0, call);
  }

  shift(): Call | undefined {
    return this.#calls.shift();
  }

  remove(call: Call): void {
    this.#calls = this.#calls.filter((other) => other !== call);
  }

  all(): readonly Call[] {
    return this.#calls;
  }

  #insertionIndexOf(dueAtMs: number): number {
    const index = this.#calls.findIndex((call) => call.dueAtMs > dueAtMs);
    return index < 0 ? this.#calls.length : index;
  }
}
