/** Lifetime of one inbound call: until its response is sent, its caller goes away or it is late. */
export class CallScope {
  readonly #controller = new AbortController();

  #timer: NodeJS.Timeout | undefined;

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Aborts the call after `deadlineMs`, its response body included. */
  startDeadline(deadlineMs: number): void {
    this.#timer = setTimeout(() => this.#controller.abort(), deadlineMs);
  }

  /** Ends the scope; aborts what still runs if the response was not sent as a whole. */
  end(isSent: boolean): void {
    clearTimeout(this.#timer);
    if (!isSent) this.#controller.abort();
  }
}
