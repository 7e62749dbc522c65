import type { Manifest } from '@sequoiafield/types';
import type { ParsedSection } from './sources.js';

/** A section that passed its digest and schema check. */
export interface CachedSection {
  readonly body: string;
  readonly parsed: ParsedSection;
}

/** Manifests kept so that peers that are a few versions behind get a delta. */
const keptManifests = 64;
/** Manifests whose section bodies are kept for peers. */
const keptBodiesOf = 3;

/** Difference between two manifests. */
export interface ManifestDelta {
  /** Version that the delta builds on; 0 for a whole manifest. */
  readonly baseVersion: number;
  readonly configVersion: number;
  readonly changed: Readonly<Record<string, string>>;
  readonly removed: readonly string[];
}

/**
 * Recent manifests and the section bodies they name.
 *
 * @example
 * cache.addManifest(digest, manifest);
 * const delta = cache.deltaFor(digest, peerVersion);
 */
export class SectionCache {
  /** By digest, oldest first. */
  readonly #manifests = new Map<string, Manifest>();

  readonly #sections = new Map<string, CachedSection>();

  addManifest(digest: string, manifest: Manifest): void {
    this.#manifests.delete(digest);
    this.#manifests.set(digest, manifest);
    for (const oldest of this.#manifests.keys()) {
      if (this.#manifests.size <= keptManifests) break;
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

  /** Delta from a version that is still kept, else the whole manifest. */
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

  /** Forgets bodies that none of the last few manifests names. */
  dropUnused(): void {
    const recent = [...this.#manifests.values()].slice(-keptBodiesOf);
    const used = new Set(recent.flatMap((manifest) => Object.values(manifest.sections)));
    for (const digest of this.#sections.keys()) {
      if (!used.has(digest)) this.#sections.delete(digest);
    }
  }
}

/** Applies a delta to the manifest of its base version. */
export const applyDelta = (base: Manifest | undefined, delta: ManifestDelta): Manifest => {
  const start = delta.baseVersion === 0 ? {} : (base?.sections ?? {});
  const merged = { ...start, ...delta.changed };
  const kept = Object.entries(merged).filter(([name]) => !delta.removed.includes(name));
  return { configVersion: delta.configVersion, sections: Object.fromEntries(kept) };
};
