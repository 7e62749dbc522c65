import { parseHead, parseManifest, parseRetirement, toCanonicalJson } from '@sequoiafield/config';
import { wallNowUnixMs } from '@sequoiafield/tables';
import type { HeadRecord, RetirementRecord } from '@sequoiafield/types';
import { mapInBatches } from './map-in-batches.js';
import { storeKeys } from './store-keys.js';
import { absentRevision, type PlatformStore } from './platform-store.js';

/** As many manifests as nodes keep for deltas; a fetch that is under way ends within them. */
export const defaultRetainedVersions = 64;
/** Time for which a superseded version stays, whatever the rate of changes. */
export const defaultRetentionMs = 3_600_000;
/** Versions and sections that one run handles; about twice what one change leaves behind. */
const versionsPerRun = 2;
const sectionsPerRun = 8;

/** What stays in the store for nodes that are late. */
export interface RetentionOptions {
  readonly retainedVersions: number;
  readonly retentionMs: number;
}

/** A version that may be retired. */
interface Superseded {
  readonly manifestKey: string;
  /** Undefined if the manifest is gone already. */
  readonly manifestRevision: number | undefined;
  /** Digests that the next version does not name, sorted. */
  readonly droppedDigests: readonly string[];
  /** Revision of the next version's history entry. */
  readonly nextRevision: number;
}

/**
 * Deletes sections and manifests of versions that are superseded for long; history entries stay.
 *
 * A section that version s names and version s + 1 does not is deleted only if its revision is not
 * above that of the history entry of s + 1. An accept that takes up a section which its base lacks
 * writes it anew or touches it, and does so after that entry exists; so a section of any later
 * version, or of an accept that still runs, has a higher revision. The delete names the revision
 * that was read, so that a touch in between, however late the delete arrives, makes it fail.
 *
 * @example
 * const retired = await new VersionRetirement(store).run(head);
 */
export class VersionRetirement {
  readonly #store: PlatformStore;

  readonly #options: RetentionOptions;

  #sectionsLeft = sectionsPerRun;

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

  /** Returns how many versions were retired. At most 28 calls; 1 to 3 if nothing is due. */
  async run(head: HeadRecord): Promise<number> {
    const stored = await this.#store.get(storeKeys.retired);
    const before = stored ? parseRetirement(stored.value) : { configVersion: 0, sectionsDone: 0 };
    let progress: RetirementRecord = before;
    for (let turn = 0; turn < versionsPerRun && this.#sectionsLeft > 0; turn += 1) {
      const next = await this.#retireNext(head, progress);
      if (!next) break;
      progress = next;
    }
    if (progress !== before) {
      const revision = stored?.revision ?? absentRevision;
      // Another operator's progress stays; what both deleted is gone either way.
      await this.#store.compareAndSwap(storeKeys.retired, revision, toCanonicalJson(progress));
    }
    return progress.configVersion - before.configVersion;
  }

  /** Progress after the next version or a part of it; undefined if it has to stay. */
  async #retireNext(
    head: HeadRecord,
    progress: RetirementRecord,
  ): Promise<RetirementRecord | undefined> {
    const configVersion = progress.configVersion + 1;
    if (configVersion > head.configVersion - this.#options.retainedVersions) return undefined;
    const superseded = await this.#readSuperseded(configVersion);
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

  async #readSuperseded(configVersion: number): Promise<Superseded | undefined> {
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
    // Without its manifest the version was retired by a run whose progress was lost.
    if (!entry) return { ...superseded, droppedDigests: [] };
    const following = await this.#store.get(storeKeys.manifest(nextHead.manifestDigest));
    if (!following) return undefined;
    const { sections } = parseManifest(entry.value, manifestDigest);
    const kept = new Set(
      Object.values(parseManifest(following.value, nextHead.manifestDigest).sections),
    );
    const dropped = new Set(Object.values(sections).filter((digest) => !kept.has(digest)));
    return { ...superseded, droppedDigests: [...dropped].sort() };
  }

  async #delete(key: string, highestRevision: number): Promise<void> {
    const entry = await this.#store.get(key);
    if (!entry || entry.revision > highestRevision) return;
    await this.#store.compareAndDelete(key, entry.revision);
  }
}
