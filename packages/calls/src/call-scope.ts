import { monotonicNowMs } from '@sequoiafield/tables';
import { Cancellation } from '@sequoiafield/transport';
import type { CancelSignal } from '@sequoiafield/types';

/** Scope of one inbound call; ends with its response, its caller disconnecting or its deadline. */
export class CallScope {
  readonly #cancellation = new Cancellation();

  #timer: NodeJS.Timeout | undefined;

  get signal(): CancelSignal {
    return this.#cancellation;
  }

  /**
   * Aborts the call at `deadlineAtMs`, including its response body. A timer may fire a fraction of
   * a millisecond early; an abort before the deadline would be taken for a caller that
   * disconnected.
   */
  startDeadline(deadlineAtMs: number): void {
    const remainingMs = deadlineAtMs - monotonicNowMs();
    if (remainingMs <= 0) {
      this.#cancellation.abort();
      return;
    }
    this.#timer = setTimeout(() => this.startDeadline(deadlineAtMs), Math.ceil(remainingMs));
  }

  /** Ends the scope; aborts the call if its response was not sent completely. */
  end(isSent: boolean): void {
    clearTimeout(this.#timer);
    if (!isSent) this.#cancellation.abort();
  }
}
