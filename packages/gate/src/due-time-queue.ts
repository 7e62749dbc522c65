/** Call that waits for a slot. */
export interface DueTimeEntry {
  /** When its answer is due, on the monotonic clock. */
  readonly dueAtMs: number;
}

/**
 * Waiting calls, the one that is due first ahead. Calls with a short target go before long ones, and
 * none starves, since every call is due at some time.
 *
 * @example
 * line.push(call);
 * const next = line.shift();
 */
export class DueTimeQueue<Call extends DueTimeEntry> {
  #calls: Call[] = [];

  get size(): number {
    return this.#calls.length;
  }

  /** Waiting calls that go before a new one that is due at this time. */
  callsAhead(dueAtMs: number): readonly Call[] {
    return this.#calls.slice(0, this.#placeOf(dueAtMs));
  }

  push(call: Call): void {
    this.#calls.splice(this.#placeOf(call.dueAtMs), 0, call);
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

  #placeOf(dueAtMs: number): number {
    const index = this.#calls.findIndex((call) => call.dueAtMs > dueAtMs);
    return index < 0 ? this.#calls.length : index;
  }
}
