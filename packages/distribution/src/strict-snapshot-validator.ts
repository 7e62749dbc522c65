import type { Manifest, Snapshot } from '@sequoiafield/types';
import type { SnapshotValidator } from './snapshot-validator.js';
import type { SectionChecker } from './configuration-store.js';

/**
 * Allows only greater versions, only whole snapshots and none with dangling references.
 *
 * @example
 * const validator = new StrictSnapshotValidator(checker);
 * if (validator.mayReplace(current, candidate)) swap(candidate);
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
    // A snapshot of the same version may add services that became wanted later, but not drop any.
    const hasAllServices = [...current.services.keys()].every((name) =>
      candidate.services.has(name),
    );
    return candidate.manifestDigest === current.manifestDigest && hasAllServices;
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
