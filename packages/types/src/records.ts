import type { MoveVerdict } from './enums.js';

/** Verdict on a move as it is kept in the store. */
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

/** A few recent nodes of one data centre, as kept in the store. */
export interface SeedRecord {
  readonly dataCentre: string;
  readonly refreshedAtUnixMs: number;
  readonly seeds: readonly Seed[];
}

/** How far sections and manifests of old versions are deleted from the store. */
export interface RetirementRecord {
  /** Last version whose sections and manifest are gone. */
  readonly configVersion: number;
  /** Sections of the next version that are handled already, in the order of their digests. */
  readonly sectionsDone: number;
}
