import { parseHead, parseManifest, parseRetirement, toCanonicalJson } from '@sequoiafield/config';
import { wallNowUnixMs } from '@sequoiafield/tables';
import type { HeadRecord, RetirementRecord } from '@sequoiafield/types';
import { mapInBatches } from './map-in-batches.js';
import { storeKeys } from './store-keys.js';
import { absentRevision, type PlatformStore } from './platform-store.js';

/** Equals the number of manifests that nodes keep for deltas; running fetches need no older ones. */
export const defaultRetainedVersions = 64;
/** Minimum time for which a superseded version stays, independent of the rate of changes. */
export const defaultRetentionMs = 3_600_000;
/** Maximum versions and sections per run; about twice what one change supersedes. */
const versionsPerRunMax = 2;
const sectionsPerRunMax = 8;

/** Retention of superseded versions for nodes that are still fetching them. */
export interface RetentionOptions {
  readonly retainedVersions: number;
  readonly retentionMs: number;
}

/** A version that may be retired. */
interface SupersededVersion {
  readonly manifestKey: string;
  /** Undefined if the manifest is already deleted. */
  readonly manifestRevision: number | undefined;
  /** Digests that the next version does not name, sorted. */
  readonly droppedDigests: readonly string[];
  /** Revision of the next version's history entry. */
  readonly nextRevision: number;
}

/**
 * Deletes sections and manifests of versions that were superseded long ago; history entries stay.
 *
 * A section that version s names and version s + 1 does not is deleted only if its revision is not
 * above that of the history entry of s + 1. An accept that uses a section which its base lacks
 * writes it or raises its revision after that history entry exists, so a section of any later
 * version, or of an accept that is still running, has a higher revision. The delete is conditional
 * on the revision that was read, so that it fails if the revision was raised in between, however
 * late it arrives.
 *
 * @example
 * const retired = await new VersionRetirement(store).run(head);
 */
export class VersionRetirement {
  readonly #store: PlatformStore;

  readonly #options: RetentionOptions;

  #sectionsLeft = sectionsPerRunMax;

  constructor(
    store: PlatformStore,
    options: RetentionOptions = {
      retainedVersions: defaultRetainedVersions,
      retentionMs: defaultRetentionMs,
    },
  ) {
    this.#store = store;
    this.#options = options;
  }

  /** Returns the number of retired versions. At most 28 calls; 1 to 3 if nothing is due. */
  async run(head: HeadRecord): Promise<number> {
    const stored = await this.#store.get(storeKeys.retired);
    const before = stored ? parseRetirement(stored.value) : { configVersion: 0, sectionsDone: 0 };
    let progress: RetirementRecord = before;
    for (let count = 0; count < versionsPerRunMax && this.#sectionsLeft > 0; count += 1) {
      const next = await this.#retireNext(head, progress);
      if (!next) break;
      progress = next;
    }
    if (progress !== before) {
      const revision = stored?.revision ?? absentRevision;
      // On a conflict another operator's progress is kept; the deletions of both runs are valid.
      await this.#store.compareAndSwap(storeKeys.retired, revision, toCanonicalJson(progress));
    }
    return progress.configVersion - before.configVersion;
  }

  /** Returns the progress after the next version or a part of it; undefined if it must stay. */
  async #retireNext(
    head: HeadRecord,
    progress: RetirementRecord,
  ): Promise<RetirementRecord | undefined> {
    const configVersion = progress.configVersion + 1;
    if (configVersion > head.configVersion - this.#options.retainedVersions) return undefined;
    const superseded = await this.#readSupersededVersion(configVersion);
    if (!superseded) return undefined;
    const { droppedDigests, manifestKey, manifestRevision, nextRevision } = superseded;
    const { sectionsDone } = progress;
    const digests = droppedDigests.slice(sectionsDone, sectionsDone + this.#sectionsLeft);
    await mapInBatches(digests, (digest) => this.#delete(storeKeys.section(digest), nextRevision));
    this.#sectionsLeft -= digests.length;
    if (sectionsDone + digests.length < droppedDigests.length) {
      return { ...progress, sectionsDone: sectionsDone + digests.length };
    }
    if (manifestRevision) await this.#store.compareAndDelete(manifestKey, manifestRevision);
    return { configVersion, sectionsDone: 0 };
  }

  async #readSupersededVersion(configVersion: number): Promise<SupersededVersion | undefined> {
    const own = await this.#store.get(storeKeys.history(configVersion));
    const next = await this.#store.get(storeKeys.history(configVersion + 1));
    if (!own || !next) return undefined;
    const nextHead = parseHead(next.value);
    if (wallNowUnixMs() - nextHead.acceptedAtUnixMs < this.#options.retentionMs) return undefined;
    const { manifestDigest } = parseHead(own.value);
    const manifestKey = storeKeys.manifest(manifestDigest);
    const entry = await this.#store.get(manifestKey);
    const superseded = {
      manifestKey,
      manifestRevision: entry?.revision,
      nextRevision: next.revision,
    };
    // A missing manifest means that a run whose progress was lost has already retired the version.
    if (!entry) return { ...superseded, droppedDigests: [] };
    const nextManifestEntry = await this.#store.get(storeKeys.manifest(nextHead.manifestDigest));
    if (!nextManifestEntry) return undefined;
    const { sections } = parseManifest(entry.value, manifestDigest);
    const nextDigests = new Set(
      Object.values(parseManifest(nextManifestEntry.value, nextHead.manifestDigest).sections),
    );
    const droppedDigests = new Set(
      Object.values(sections).filter((digest) => !nextDigests.has(digest)),
    );
    return { ...superseded, droppedDigests: [...droppedDigests].sort() };
  }

  async #delete(key: string, revisionMax: number): Promise<void> {
    const entry = await this.#store.get(key);
    if (!entry || entry.revision > revisionMax) return;
    await this.#store.compareAndDelete(key, entry.revision);
  }
}
