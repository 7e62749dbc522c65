import {
  PathFaultMode,
  affectsDirection,
  noFault,
  type PathFault,
  type FaultDirection,
} from './path-fault.js';

/** Forwards the chunks of one direction of a connection in order and applies the current fault. */
export class ChunkForwarder {
  #fault: PathFault = noFault;

  #isSilent = false;

  #heldChunks: Uint8Array[] = [];

  /** Earliest time to forward the next chunk; keeps chunks in order when the delay decreases. */
  #releaseAtMs = 0;

  constructor(
    private readonly direction: FaultDirection,
    private readonly forward: (chunk: Uint8Array) => void,
  ) {}

  setFault(fault: PathFault): void {
    this.#fault = fault;
    if (!affectsDirection(fault, this.direction)) {
      this.#release();
      return;
    }
    // A silent connection stays silent, because its discarded bytes cannot be delivered any more.
    if (fault.mode === PathFaultMode.Silent) this.#isSilent = true;
    if (fault.mode === PathFaultMode.Pass) this.#release();
  }

  accept(chunk: Uint8Array): void {
    if (this.#isSilent) return;
    const isAffected = affectsDirection(this.#fault, this.direction);
    if (isAffected && this.#fault.mode === PathFaultMode.Freeze) {
      this.#heldChunks.push(chunk);
      return;
    }
    const delayMs = isAffected ? this.#fault.delayMs : 0;
    const nowMs = performance.now();
    this.#releaseAtMs = Math.max(this.#releaseAtMs, nowMs + delayMs);
    if (this.#releaseAtMs <= nowMs) this.forward(chunk);
    else setTimeout(() => this.forward(chunk), this.#releaseAtMs - nowMs);
  }

  #release(): void {
    const heldChunks = this.#heldChunks;
    this.#heldChunks = [];
    if (!this.#isSilent) heldChunks.forEach((chunk) => this.forward(chunk));
  }
}
