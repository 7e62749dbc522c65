import type { Manifest } from '@sequoiafield/types';
import type { ParsedSection } from './configuration-store.js';

/** A section that passed its digest and schema check. */
export interface CachedSection {
  readonly body: string;
  readonly parsed: ParsedSection;
}

/** Manifests that are kept so that peers a few versions behind receive a delta. */
const manifestsMax = 64;
/** Newest manifests whose section bodies are kept for peers. */
const manifestsWithBodiesMax = 3;

/** Difference between two manifests, as it is sent to peers. */
export interface ManifestDelta {
  /** Version to which the delta is applied; 0 for a whole manifest. */
  readonly baseVersion: number;
  readonly configVersion: number;
  readonly changed: Readonly<Record<string, string>>;
  readonly removed: readonly string[];
}

/**
 * Holds recent manifests and the section bodies that they name.
 *
 * @example
 * cache.addManifest(digest, manifest);
 * const delta = cache.deltaFor(digest, peerVersion);
 */
export class SectionCache {
  /** Manifests by digest, oldest first. */
  readonly #manifests = new Map<string, Manifest>();

  readonly #sections = new Map<string, CachedSection>();

  addManifest(digest: string, manifest: Manifest): void {
    this.#manifests.delete(digest);
    this.#manifests.set(digest, manifest);
    for (const oldest of this.#manifests.keys()) {
      if (this.#manifests.size <= manifestsMax) break;
      this.#manifests.delete(oldest);
    }
  }

  manifest(digest: string): Manifest | undefined {
    return this.#manifests.get(digest);
  }

  addSection(digest: string, section: CachedSection): void {
    this.#sections.set(digest, section);
  }

  section(digest: string): CachedSection | undefined {
    return this.#sections.get(digest);
  }

  /** Returns the delta from a version that is still kept, otherwise the whole manifest. */
  deltaFor(digest: string, baseVersion: number): ManifestDelta | undefined {
    const target = this.#manifests.get(digest);
    if (!target) return undefined;
    const { configVersion } = target;
    const base = [...this.#manifests.values()].find(
      (manifest) => manifest.configVersion === baseVersion,
    );
    if (!base) return { baseVersion: 0, configVersion, changed: target.sections, removed: [] };
    const changed = Object.entries(target.sections).filter(
      ([name, section]) => base.sections[name] !== section,
    );
    const removed = Object.keys(base.sections).filter((name) => !(name in target.sections));
    return { baseVersion, configVersion, changed: Object.fromEntries(changed), removed };
  }

  /** Removes the bodies that none of the newest manifests names. */
  dropUnused(): void {
    const recent = [...this.#manifests.values()].slice(-manifestsWithBodiesMax);
    const used = new Set(recent.flatMap((manifest) => Object.values(manifest.sections)));
    for (const digest of this.#sections.keys()) {
      if (!used.has(digest)) this.#sections.delete(digest);
    }
  }
}

/** Applies a delta to the manifest of its base version. */
export const applyDelta = (base: Manifest | undefined, delta: ManifestDelta): Manifest => {
  const baseSections = delta.baseVersion === 0 ? {} : (base?.sections ?? {});
  const merged = { ...baseSections, ...delta.changed };
  const kept = Object.entries(merged).filter(([name]) => !delta.removed.includes(name));
  return { configVersion: delta.configVersion, sections: Object.fromEntries(kept) };
};
