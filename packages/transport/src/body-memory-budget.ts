import { monotonicNowMs } from '@sequoiafield/tables';

interface WaitingReader {
  readonly bytes: number;
  readonly resume: () => void;
}

/** Bytes of bodies that may be held for one purpose; readers pause or are refused beyond them. */
export class BodyMemoryBudget {
  #heldBytes = 0;

  #peakBytes = 0;

  #waiting: readonly WaitingReader[] = [];

  /** Readers that had to wait for memory. */
  waits = 0;

  /** Bodies for which there was no memory. */
  refusals = 0;

  /** When a body was last refused, on the monotonic clock. */
  refusedAtMs = Number.NEGATIVE_INFINITY;

  constructor(readonly maxBytes: number) {}

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Most bytes held at a time since the start. */
  get peakBytes(): number {
    return this.#peakBytes;
  }

  get isFull(): boolean {
    return this.#heldBytes >= this.maxBytes;
  }

  /** Counts bytes that are held whatever the bound, as those that have arrived. */
  add(bytes: number): void {
    this.#heldBytes += bytes;
    this.#peakBytes = Math.max(this.#peakBytes, this.#heldBytes);
  }

  /** Takes bytes if they are within the bound; a body larger than the bound is held alone. */
  tryTake(bytes: number): boolean {
    if (this.#waiting.length > 0 || !this.#hasRoomFor(bytes)) return false;
    this.add(bytes);
    return true;
  }

  /**
   * Takes bytes once they are within the bound; resolves with false if that lasts longer than
   * `waitMaxMs`. Readers get memory in the order in which they asked.
   */
  async take(bytes: number, waitMaxMs: number): Promise<boolean> {
    if (this.tryTake(bytes)) return true;
    const isTaken = await this.#wait(bytes, waitMaxMs);
    if (!isTaken) this.recordRefusal();
    return isTaken;
  }

  /** Counts a body as refused for lack of memory. */
  recordRefusal(): void {
    this.refusals += 1;
    this.refusedAtMs = monotonicNowMs();
  }

  /** Calls a paused reader once there is memory again; returns a function that cancels the call. */
  onceFreed(resume: () => void): () => void {
    this.waits += 1;
    const reader = { bytes: 0, resume };
    this.#waiting = [...this.#waiting, reader];
    return () => this.#remove(reader);
  }

  /** Gives bytes back that were taken or added, and resumes the readers for which there is memory. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
    this.#resumeWaiting();
  }

  #hasRoomFor(bytes: number): boolean {
    const isWithin = bytes === 0 ? !this.isFull : this.#heldBytes + bytes <= this.maxBytes;
    return isWithin || this.#heldBytes === 0;
  }

  #wait(bytes: number, waitMaxMs: number): Promise<boolean> {
    this.waits += 1;
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const reader = {
        bytes,
        resume: () => {
          clearTimeout(timer);
          this.add(bytes);
          resolve(true);
        },
      };
      this.#waiting = [...this.#waiting, reader];
      timer = setTimeout(() => {
        this.#remove(reader);
        resolve(false);
      }, waitMaxMs);
    });
  }

  #remove(reader: WaitingReader): void {
    this.#waiting = this.#waiting.filter((other) => other !== reader);
    // A reader that no longer waits may have been ahead of one for which there is memory.
    this.#resumeWaiting();
  }

  #resumeWaiting(): void {
    for (;;) {
      const [first] = this.#waiting;
      if (!first || !this.#hasRoomFor(first.bytes)) return;
      this.#waiting = this.#waiting.slice(1);
      first.resume();
    }
  }
}
