/** Counts the running calls by request id, so that a drain can wait for them. */
export class RunningCalls {
  readonly #countsByRequestId = new Map<string, number>();

  #totalCount = 0;

  #idleCallbacks: (() => void)[] = [];

  get size(): number {
    return this.#totalCount;
  }

  /** Whether a call with this request id is running. */
  has(requestId: string): boolean {
    return this.#countsByRequestId.has(requestId);
  }

  /** Counts a call as running until the returned function is called. */
  begin(requestId: string): () => void {
    this.#totalCount += 1;
    this.#countsByRequestId.set(requestId, (this.#countsByRequestId.get(requestId) ?? 0) + 1);
    let isFinished = false;
    return () => {
      if (isFinished) return;
      isFinished = true;
      this.#finish(requestId);
    };
  }

  /** Resolves once no call is running. */
  whenIdle(): Promise<void> {
    if (this.#totalCount === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleCallbacks.push(resolve);
    });
  }

  #finish(requestId: string): void {
    this.#totalCount -= 1;
    const count = (this.#countsByRequestId.get(requestId) ?? 1) - 1;
    if (count === 0) this.#countsByRequestId.delete(requestId);
    else this.#countsByRequestId.set(requestId, count);
    if (this.#totalCount > 0) return;
    const callbacks = this.#idleCallbacks;
    this.#idleCallbacks = [];
    callbacks.forEach((resolve) => resolve());
  }
}
