import type { Priority } from '@sequoiafield/types';
import type { CallQueue, QueueEntry } from './call-queue.js';

/**
 * Queue of calls by priority, in order of arrival within one priority. When it is full, the newest
 * call of the least important priority is dropped, which may be the new call itself.
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
    this.#calls = this.#calls.filter((queued) => queued !== call);
  }

  all(): readonly Call[] {
    return [...this.#calls];
  }
}
