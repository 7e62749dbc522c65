import {
  sha256Hex,
  joinMesh,
  parseHead,
  parseManifest,
  parseSection,
  parseVerdict,
  type SectionBody,
} from '@sequoiafield/config';
import {
  meshSectionName,
  type Configuration,
  type HeadRecord,
  type Manifest,
  type MeshSection,
  type RoutesSection,
  type ServiceSection,
  type VerdictRecord,
} from '@sequoiafield/types';
import { StoreDataError } from './errors.js';
import { mapInBatches } from './map-in-batches.js';
import { storeKeys } from './store-keys.js';
import type { PlatformStore } from './platform-store.js';

/** The head record with its revision in the store. */
export interface HeadWithRevision {
  readonly record: HeadRecord;
  readonly revision: number;
}

/** Two configurations, reduced to the sections whose digests differ. */
export interface ConfigChange {
  readonly before: Configuration | undefined;
  readonly after: Configuration;
}

/**
 * Lists the names of the sections whose digests differ, including new and removed ones, sorted.
 *
 * @example
 * listChangedSections(accepted, buildManifest(8, toSections(configuration)).manifest);
 */
export const listChangedSections = (
  before: Manifest | undefined,
  after: Manifest,
): readonly string[] => {
  const oldDigests = before?.sections ?? {};
  const names = new Set([...Object.keys(oldDigests), ...Object.keys(after.sections)]);
  return [...names].filter((name) => oldDigests[name] !== after.sections[name]).sort();
};

/** Maximum number of history entries that one call reads. */
export const historyReadMaxEntries = 100;

/**
 * Reads the accepted configuration, its history and the verdicts.
 *
 * @example
 * const reader = new ConfigReader(store);
 * const head = await reader.readHead();
 * const manifest = head && (await reader.readManifest(head.record.manifestDigest));
 */
export class ConfigReader {
  readonly #store: PlatformStore;

  constructor(store: PlatformStore) {
    this.#store = store;
  }

  /** Reads the accepted head; undefined before the first accept. One call. */
  async readHead(): Promise<HeadWithRevision | undefined> {
    const entry = await this.#store.get(storeKeys.head);
    return entry && { record: parseHead(entry.value), revision: entry.revision };
  }

  /** Reads the manifest with a digest and checks it against the digest. One call. */
  async readManifest(digest: string): Promise<Manifest> {
    return parseManifest(await this.#readRequired(storeKeys.manifest(digest)), digest);
  }

  /** Reads the body of a section and checks it against its digest without parsing it. One call. */
  async readSection(name: string, digest: string): Promise<SectionBody> {
    const body = await this.#readRequired(storeKeys.section(digest));
    if (sha256Hex(body) !== digest) {
      throw new StoreDataError(`Section ${name} in the store does not have digest ${digest}`);
    }
    return { name, body, digest };
  }

  /** Reads section `mesh` of a manifest. One call. */
  async readMesh(manifest: Manifest): Promise<MeshSection> {
    const digest = manifest.sections[meshSectionName] ?? '';
    const { body } = await this.readSection(meshSectionName, digest);
    const parsed = parseSection(meshSectionName, body);
    if (parsed.kind !== 'mesh')
      throw new StoreDataError(
        `Section ${meshSectionName} has kind ${parsed.kind} instead of mesh`,
      );
    return parsed.mesh;
  }

  /** Reads the whole configuration of a head. One call, and one per distinct section digest. */
  async readConfiguration(head: HeadRecord): Promise<Configuration> {
    const manifest = await this.readManifest(head.manifestDigest);
    return this.readSections(manifest, Object.keys(manifest.sections));
  }

  /**
   * Reads some sections of a manifest as a configuration. Names that the manifest lacks are left out;
   * so are the data centres if section `mesh` is not named, and the routes of index sections that are
   * not named. One call per distinct digest.
   */
  async readSections(manifest: Manifest, names: readonly string[]): Promise<Configuration> {
    const present = names.flatMap((name) => {
      const digest = manifest.sections[name];
      return digest === undefined ? [] : [{ name, digest }];
    });
    // Index sections without routes share one body.
    const nameByDigest = new Map(present.map(({ name, digest }) => [digest, name]));
    const read = await mapInBatches([...nameByDigest], ([digest, name]) =>
      this.readSection(name, digest),
    );
    const bodies = new Map(read.map(({ digest, body }) => [digest, body]));
    let mesh: MeshSection = { dataCentres: [] };
    const routes: RoutesSection[] = [];
    const services = new Map<string, ServiceSection>();
    present.forEach(({ name, digest }) => {
      const parsed = parseSection(name, bodies.get(digest) ?? '');
      if (parsed.kind === 'mesh') mesh = parsed.mesh;
      else if (parsed.kind === 'routes') routes.push(parsed.routes);
      else services.set(name, parsed.section);
    });
    return { mesh: joinMesh(mesh, routes), services };
  }

  /**
   * Reads the difference between two heads: both configurations, reduced to the sections whose
   * digests differ. Two calls, and at most two per changed section.
   */
  async readChange(before: HeadRecord | undefined, after: HeadRecord): Promise<ConfigChange> {
    const oldManifest = before && (await this.readManifest(before.manifestDigest));
    const manifest = await this.readManifest(after.manifestDigest);
    const names = listChangedSections(oldManifest, manifest);
    return {
      before: oldManifest && (await this.readSections(oldManifest, names)),
      after: await this.readSections(manifest, names),
    };
  }

  /** Reads one history entry; undefined if it was never written. One call. */
  async readHistoryEntry(configVersion: number): Promise<HeadRecord | undefined> {
    const entry = await this.#store.get(storeKeys.history(configVersion));
    return entry && parseHead(entry.value);
  }

  /**
   * Reads the newest accepted versions, newest first. The head replaces its own history entry, which
   * may not be written yet. At most `limit` calls.
   */
  async readHistory(limit: number): Promise<readonly HeadRecord[]> {
    const head = await this.readHead();
    if (!head) return [];
    const { configVersion } = head.record;
    const count = Math.min(limit, historyReadMaxEntries, configVersion);
    const earlier = Array.from({ length: count - 1 }, (_, index) => configVersion - 1 - index);
    const entries = await mapInBatches(earlier, (version) => this.readHistoryEntry(version));
    return [head.record, ...entries.filter((entry) => entry !== undefined)];
  }

  /** Reads the verdict on a move; undefined if none was written. One call. */
  async readVerdict(moveId: string): Promise<VerdictRecord | undefined> {
    const entry = await this.#store.get(storeKeys.verdict(moveId));
    return entry && parseVerdict(entry.value);
  }

  async #readRequired(key: string): Promise<string> {
    const entry = await this.#store.get(key);
    if (!entry) throw new StoreDataError(`The store has no entry for key ${key}`);
    return entry.value;
  }
}
