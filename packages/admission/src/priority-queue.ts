import type { Priority } from '@sequoiafield/types';
import type { CallQueue, QueueEntry } from './call-queue.js';

/**
 * Waiting calls by priority, in order of arrival within one priority. A full queue drops the
 * newest of its least important calls, if the new one is more important.
 *
 * @example
 * const dropped = queue.push(call, 20);
 */
export class PriorityQueue<Call extends QueueEntry> implements CallQueue<Call> {
  #calls: Call[] = [];

  get size(): number {
    return this.#calls.length;
  }

  countAhead(priority: Priority): number {
    const index = this.#calls.findIndex((call) => call.priority > priority);
    return index < 0 ? this.#calls.length : index;
  }

  push(call: Call, sizeMax: number): Call | undefined {
    this.#calls.splice(this.countAhead(call.priority), 0, call);
    return this.#calls.length > sizeMax ? this.#calls.pop() : undefined;
  }

  shift(): Call | undefined {
    return this.#calls.shift();
  }

  remove(call: Call): void {
    this.#calls = this.#calls.filter((waiting) => waiting !== call);
  }

  all(): readonly Call[] {
    return [...this.#calls];
  }
}
