import type { CancelSignal } from '@sequoiafield/types';

/**
 * Cancellation of one call; serves both as its controller and as its signal.
 *
 * @example
 * const cancellation = new Cancellation();
 * cancellation.addEventListener('abort', () => stop());
 * cancellation.abort(new TransportError('The link was lost'));
 */
export class Cancellation implements CancelSignal {
  #isAborted = false;

  #reason: unknown;

  #listeners: readonly ((event: unknown) => void)[] = [];

  get aborted(): boolean {
    return this.#isAborted;
  }

  get reason(): unknown {
    return this.#reason;
  }

  /** Calls the listeners once, in the order in which they were added. */
  abort(reason?: unknown): void {
    if (this.#isAborted) return;
    this.#isAborted = true;
    this.#reason = reason;
    const listeners = this.#listeners;
    this.#listeners = [];
    listeners.forEach((listener) => listener(this));
  }

  addEventListener(_type: 'abort', listener: (event: unknown) => void): void {
    if (!this.#isAborted) this.#listeners = [...this.#listeners, listener];
  }

  removeEventListener(_type: 'abort', listener: (event: unknown) => void): void {
    this.#listeners = this.#listeners.filter((other) => other !== listener);
  }
}
