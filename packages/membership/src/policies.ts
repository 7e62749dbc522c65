import type { RegisterEntry } from '@sequoiafield/types';

/** When suspicion of a member becomes its death; tests replace it to show what it prevents. */
export interface SuspicionPolicy {
  /** Members asked to probe a silent one indirectly. */
  readonly indirectProbes: number;
  /** Time without refutation until a suspect with enough observers is dead. */
  readonly suspicionTimeoutMs: number;
  /** Different observers that have to report a member. */
  observersNeeded(fleetSize: number): number;
}

/** How rumours and registers spread; tests replace it to show what it ensures. */
export interface SpreadPolicy {
  /** Peers that an urgent item is pushed to at first sight. */
  readonly pushFanOut: number;
  /** Whether probes and acks compare registers and repair what a push missed. */
  readonly isRepairEnabled: boolean;
  /** Whether an entry heard for a register replaces the known one. */
  replaces(known: RegisterEntry | undefined, heard: RegisterEntry): boolean;
  /** Times that a node sends one rumour. */
  sendLimit(fleetSize: number): number;
}
