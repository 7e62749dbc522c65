import type { Manifest, Snapshot } from '@sequoiafield/types';

/** Rules that a candidate snapshot must satisfy; tests replace a rule to show what it prevents. */
export interface SnapshotValidator {
  /** Whether a head must be fetched while `currentVersion` is active; 0 if no version is active. */
  isNewer(currentVersion: number, headVersion: number): boolean;
  /** Whether the candidate may replace the active snapshot. */
  mayReplace(current: Snapshot | undefined, candidate: Snapshot): boolean;
  /** Returns the names of sections that are wanted but not held. */
  findMissingSections(
    wantedNames: readonly string[],
    heldNames: ReadonlySet<string>,
  ): readonly string[];
  /** Returns a description of each dangling reference. */
  findDanglingReferences(
    snapshot: Pick<Snapshot, 'mesh' | 'services'>,
    manifest: Manifest,
  ): readonly string[];
}
