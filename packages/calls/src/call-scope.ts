import { monotonicNowMs } from '@sequoiafield/tables';

/** Lifetime of one inbound call: until its response is sent, its caller goes away or it is late. */
export class CallScope {
  readonly #controller = new AbortController();

  #timer: NodeJS.Timeout | undefined;

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Aborts the call at `deadlineAtMs`, its response body included. A timer may fire a fraction of a
   * millisecond early; an abort before the deadline would look like a caller that went away.
   */
  startDeadline(deadlineAtMs: number): void {
    const leftMs = deadlineAtMs - monotonicNowMs();
    if (leftMs <= 0) {
      this.#controller.abort();
      return;
    }
    this.#timer = setTimeout(() => this.startDeadline(deadlineAtMs), Math.ceil(leftMs));
  }

  /** Ends the scope; aborts what still runs if the response was not sent as a whole. */
  end(isSent: boolean): void {
    clearTimeout(this.#timer);
    if (!isSent) this.#controller.abort();
  }
}
