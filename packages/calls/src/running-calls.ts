/** Calls that run now, by request id; a drain waits for them. */
export class RunningCalls {
  readonly #counts = new Map<string, number>();

  #size = 0;

  #waiters: (() => void)[] = [];

  get size(): number {
    return this.#size;
  }

  /** Whether a call with this request id runs. */
  has(requestId: string): boolean {
    return this.#counts.has(requestId);
  }

  /** Counts a call as running until the returned function is called. */
  begin(requestId: string): () => void {
    this.#size += 1;
    this.#counts.set(requestId, (this.#counts.get(requestId) ?? 0) + 1);
    let isFinished = false;
    return () => {
      if (isFinished) return;
      isFinished = true;
      this.#finish(requestId);
    };
  }

  /** Resolves once no call runs. */
  whenIdle(): Promise<void> {
    if (this.#size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#waiters.push(resolve);
    });
  }

  #finish(requestId: string): void {
    this.#size -= 1;
    const count = (this.#counts.get(requestId) ?? 1) - 1;
    if (count === 0) this.#counts.delete(requestId);
    else this.#counts.set(requestId, count);
    if (this.#size > 0) return;
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((resolve) => resolve());
  }
}
