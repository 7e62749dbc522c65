/** Call that waits for a slot. */
export interface Waiting {
  /** Rank under overload; 0 is the most important. */
  readonly rank: number;
  readonly deadlineAtMs: number;
}

/**
 * Waiting calls by rank, in order of arrival within a rank.
 *
 * @example
 * const dropped = line.push(call, 36);
 * const next = line.shift();
 */
export class WaitingLine<Call extends Waiting> {
  #calls: Call[] = [];

  get size(): number {
    return this.#calls.length;
  }

  /** Waiting calls that go before a new one of this rank. */
  countAhead(rank: number): number {
    const index = this.#calls.findIndex((call) => call.rank > rank);
    return index < 0 ? this.#calls.length : index;
  }

  /** Adds the call; returns the call that has to go for it, which may be the new one itself. */
  push(call: Call, sizeMax: number): Call | undefined {
    this.#calls.splice(this.countAhead(call.rank), 0, call);
    return this.#calls.length > sizeMax ? this.#calls.pop() : undefined;
  }

  shift(): Call | undefined {
    return this.#calls.shift();
  }

  remove(call: Call): void {
    this.#calls = this.#calls.filter((other) => other !== call);
  }

  /** Removes and returns every waiting call. */
  takeAll(): Call[] {
    return this.#calls.splice(0);
  }

  all(): readonly Call[] {
    return this.#calls;
  }
}
