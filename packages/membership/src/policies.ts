import type { RegisterEntry } from '@sequoiafield/types';

/** Policy for when a suspected member becomes dead; tests replace it to show what it prevents. */
export interface SuspicionPolicy {
  /** Number of members that are requested to probe one that does not answer. */
  readonly indirectProbes: number;
  /** Time without refutation after which a suspect with enough observers is dead. */
  readonly suspicionTimeoutMs: number;
  /** Returns the number of different observers that have to report a member. */
  observersNeeded(fleetSize: number): number;
}

/** Policy for how rumours and registers spread; tests replace it to show what it ensures. */
export interface SpreadPolicy {
  /** Number of peers that an urgent item is pushed to when it is new to the node. */
  readonly pushFanOut: number;
  /** Whether probes and acks compare registers and repair what a push missed. */
  readonly isRepairEnabled: boolean;
  /** Returns whether a received entry of a register replaces the known one. */
  replaces(known: RegisterEntry | undefined, received: RegisterEntry): boolean;
  /** Returns the number of times that a node sends one rumour. */
  sendLimit(fleetSize: number): number;
}
