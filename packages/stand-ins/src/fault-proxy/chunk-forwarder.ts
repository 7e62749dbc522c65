import {
  PathFaultMode,
  affectsDirection,
  noFault,
  type PathFault,
  type FaultDirection,
} from './path-fault.js';

/** Forwards the chunks of one direction of a connection in order, under the fault in force. */
export class ChunkForwarder {
  #fault: PathFault = noFault;

  #isSilent = false;

  #held: Uint8Array[] = [];

  /** Chunks leave in the order of their arrival even when the delay shrinks. */
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
    // A connection that went silent stays silent: its state in the middle is lost.
    if (fault.mode === PathFaultMode.Silent) this.#isSilent = true;
    if (fault.mode === PathFaultMode.Pass) this.#release();
  }

  accept(chunk: Uint8Array): void {
    if (this.#isSilent) return;
    const isOn = affectsDirection(this.#fault, this.direction);
    if (isOn && this.#fault.mode === PathFaultMode.Freeze) {
      this.#held.push(chunk);
      return;
    }
    const delayMs = isOn ? this.#fault.delayMs : 0;
    const nowMs = performance.now();
    this.#releaseAtMs = Math.max(this.#releaseAtMs, nowMs + delayMs);
    if (this.#releaseAtMs <= nowMs) this.forward(chunk);
    else setTimeout(() => this.forward(chunk), this.#releaseAtMs - nowMs);
  }

  #release(): void {
    const held = this.#held;
    this.#held = [];
    if (!this.#isSilent) held.forEach((chunk) => this.forward(chunk));
  }
}
