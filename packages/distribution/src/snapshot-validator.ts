import type { Manifest, Snapshot } from '@sequoiafield/types';

/** Rules that a candidate has to pass; tests replace one to show what it prevents. */
export interface SnapshotValidator {
  /** Whether a head is worth fetching while `currentVersion` is in force; 0 for none. */
  isNewer(currentVersion: number, headVersion: number): boolean;
  /** Whether the candidate may replace the snapshot in force. */
  mayReplace(current: Snapshot | undefined, candidate: Snapshot): boolean;
  /** Names of sections that are wanted but not held. */
  findMissingSections(
    wantedNames: readonly string[],
    heldNames: ReadonlySet<string>,
  ): readonly string[];
  /** Dangling references in words. */
  findDanglingReferences(
    snapshot: Pick<Snapshot, 'mesh' | 'services'>,
    manifest: Manifest,
  ): readonly string[];
}
