import type { Manifest, Snapshot } from '@sequoiafield/types';
import type { SnapshotValidator } from './snapshot-validator.js';
import type { SectionChecker } from './sources.js';

/**
 * Only greater versions, only whole, only without dangling references.
 *
 * @example
 * const guard = new StrictSnapshotValidator(checker);
 * if (guard.mayReplace(current, candidate)) swap(candidate);
 */
export class StrictSnapshotValidator implements SnapshotValidator {
  constructor(private readonly checker: Pick<SectionChecker, 'checkReferences'>) {}

  isNewer(currentVersion: number, headVersion: number): boolean {
    return headVersion > currentVersion;
  }

  mayReplace(current: Snapshot | undefined, candidate: Snapshot): boolean {
    if (!current) return true;
    if (candidate.configVersion !== current.configVersion) {
      return this.isNewer(current.configVersion, candidate.configVersion);
    }
    // The same version may gain services that were asked for later, never lose any.
    const keepsAll = [...current.services.keys()].every((name) => candidate.services.has(name));
    return candidate.manifestDigest === current.manifestDigest && keepsAll;
  }

  findMissingSections(
    wantedNames: readonly string[],
    heldNames: ReadonlySet<string>,
  ): readonly string[] {
    return wantedNames.filter((name) => !heldNames.has(name));
  }

  findDanglingReferences(
    snapshot: Pick<Snapshot, 'mesh' | 'services'>,
    manifest: Manifest,
  ): readonly string[] {
    return this.checker.checkReferences(snapshot, manifest);
  }
}
