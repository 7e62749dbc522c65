import { monotonicNowMs } from '@sequoiafield/tables';
import { Cancellation } from '@sequoiafield/transport';
import type { CancelSignal } from '@sequoiafield/types';

/** Lifetime of one inbound call: until its response is sent, its caller goes away or it is late. */
export class CallScope {
  readonly #cancellation = new Cancellation();

  #timer: NodeJS.Timeout | undefined;

  get signal(): CancelSignal {
    return this.#cancellation;
  }

  /**
   * Aborts the call at `deadlineAtMs`, its response body included. A timer may fire a fraction of a
   * millisecond early; an abort before the deadline would look like a caller that went away.
   */
  startDeadline(deadlineAtMs: number): void {
    const leftMs = deadlineAtMs - monotonicNowMs();
    if (leftMs <= 0) {
      this.#cancellation.abort();
      return;
    }
    this.#timer = setTimeout(() => this.startDeadline(deadlineAtMs), Math.ceil(leftMs));
  }

  /** Ends the scope; aborts what still runs if the response was not sent as a whole. */
  end(isSent: boolean): void {
    clearTimeout(this.#timer);
    if (!isSent) this.#cancellation.abort();
  }
}
