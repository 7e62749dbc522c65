import type { HeadRecord, Snapshot } from '@sequoiafield/types';
import type { SnapshotValidator } from './snapshot-validator.js';

type SwapListener = (snapshot: Snapshot) => void;

/**
 * Holds the active snapshot, which is replaced as a whole and only as the validator allows.
 *
 * @example
 * if (holder.swap(candidate)) announce(candidate.configVersion);
 */
export class SnapshotHolder {
  #current: Snapshot | undefined;

  readonly #listeners: SwapListener[] = [];

  constructor(private readonly validator: SnapshotValidator) {}

  get current(): Snapshot | undefined {
    return this.#current;
  }

  /** Active version; 0 before the first. */
  get version(): number {
    return this.#current?.configVersion ?? 0;
  }

  isBehind(head: HeadRecord): boolean {
    return this.validator.isNewer(this.version, head.configVersion);
  }

  onSwap(listener: SwapListener): void {
    this.#listeners.push(listener);
  }

  swap(candidate: Snapshot): boolean {
    if (!this.validator.mayReplace(this.#current, candidate)) return false;
    this.#current = Object.freeze(candidate);
    for (const listener of this.#listeners) listener(candidate);
    return true;
  }
}
