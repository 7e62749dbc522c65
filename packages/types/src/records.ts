import type { MoveVerdict } from './enums.js';

/** Verdict on a move, as stored. */
export interface VerdictRecord {
  readonly moveId: string;
  readonly service: string;
  readonly verdict: MoveVerdict;
  readonly reason: string;
  readonly decidedAtUnixMs: number;
  /** Id of the node that wrote the verdict. */
  readonly nodeId: string;
}

/** Address at which a joining node can reach gossip. */
export interface Seed {
  readonly id: string;
  readonly address: string;
  readonly gossipPort: number;
}

/** A few recent nodes of one data centre, as stored. */
export interface SeedRecord {
  readonly dataCentre: string;
  readonly refreshedAtUnixMs: number;
  readonly seeds: readonly Seed[];
}

/** Progress of deleting the sections and manifests of old versions from the store. */
export interface RetirementRecord {
  /** Last version whose sections and manifest are deleted. */
  readonly configVersion: number;
  /**
   * Number of sections of the next version that are already handled, in the order of their digests.
   */
  readonly sectionsDone: number;
}
