import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import {
  sharedSectionNames,
  type HeadRecord,
  type Manifest,
  type MemberView,
  type MeshSection,
  type RoutesSection,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';
import { createDistributionError } from './create-distribution-error.js';
import type { PeerExchange } from './peer-exchange.js';
import type { PeerSelector } from './peer-selector.js';
import { createRejectedSnapshotError, RejectedSnapshotError } from './rejected-snapshot-error.js';
import { applyDelta, type SectionCache } from './section-cache.js';
import type { SnapshotValidator } from './snapshot-validator.js';
import type { SnapshotHolder } from './snapshot-holder.js';
import type { ConfigurationStore, SectionChecker } from './configuration-store.js';
import { burstDelayMs, sleep, withTimeout } from './timing.js';

/** Counters of fetched manifests and sections by source. */
export interface FetchCounters {
  fromPeers: number;
  fromStore: number;
  /** Number of bodies whose digest did not match. */
  badDigests: number;
}

/** Options of a fetch: where the head came from, and where its version is fetched first. */
export interface FetchOptions {
  /** Peer that the head was received from. */
  readonly senderId: string | undefined;
  /** True if the head is so new that only this node, which read it from the store, may know it. */
  readonly isStoreFirst: boolean;
  /** Whether the fetch is obsolete because a newer head is known. */
  readonly isSuperseded: () => boolean;
}

/** Dependencies of a `SnapshotFetcher`. */
export interface SnapshotFetcherDependencies {
  readonly members: MemberView;
  readonly random: RandomSource;
  readonly cache: SectionCache;
  readonly exchange: PeerExchange;
  readonly peers: PeerSelector;
  readonly holder: SnapshotHolder;
  readonly validator: SnapshotValidator;
  readonly configurationStore: ConfigurationStore;
  readonly checker: SectionChecker;
  /** Services to hold; undefined for all. */
  readonly wantedServices: () => ReadonlySet<string> | undefined;
  readonly expectedFleetSize: number;
}

const storeTimeoutMs = 3000;
const parallelReadsMax = 8;
/** Mean interval at which a node that delays its store reads asks peers again. */
const peerRetryIntervalMs = 1500;

/**
 * Fetches the manifest and sections of a version, from peers first, and builds a checked snapshot.
 *
 * @example
 * const snapshot = await fetcher.fetch(head, { senderId: 'node-7', isStoreFirst: false });
 */
export class SnapshotFetcher {
  readonly counters: FetchCounters = { fromPeers: 0, fromStore: 0, badDigests: 0 };

  #isWaitingForStore = false;

  constructor(private readonly dependencies: SnapshotFetcherDependencies) {}

  /** Whether a fetch is delaying its store reads, so that peers need not wait for it. */
  get isWaitingForStore(): boolean {
    return this.#isWaitingForStore;
  }

  /**
   * Fetches a whole, checked snapshot. Rejects with `DistributionError` if the manifest or a section
   * could not be fetched, and with `RejectedSnapshotError` if the content is invalid, which no retry
   * changes.
   */
  async fetch(head: HeadRecord, options: FetchOptions): Promise<Snapshot> {
    const manifest = await this.#fetchManifest(head, options);
    const wanted = this.dependencies.wantedServices();
    const names = Object.keys(manifest.sections).filter(
      (name) => !wanted || wanted.has(name) || sharedSectionNames.includes(name),
    );
    await this.#fetchSections(manifest, names, options);
    return this.#buildSnapshot(head, manifest, names);
  }

  async #fetchManifest(head: HeadRecord, options: FetchOptions): Promise<Manifest> {
    const { cache, checker } = this.dependencies;
    const accept = (manifest: Manifest): Manifest => {
      if (checker.digestOf(checker.toCanonicalJson(manifest)) !== head.manifestDigest) {
        this.counters.badDigests += 1;
        throw createDistributionError(`Manifest does not match digest ${head.manifestDigest}`);
      }
      cache.addManifest(head.manifestDigest, manifest);
      return manifest;
    };
    const known = cache.manifest(head.manifestDigest);
    if (known) return known;
    if (options.isStoreFirst) {
      const stored = await this.#readManifestFromStore(head).catch(() => undefined);
      if (stored) return accept(stored);
    }
    const base = cache.manifest(this.dependencies.holder.current?.manifestDigest ?? '');
    const askPeers = async (): Promise<boolean> => {
      for (const peer of this.dependencies.peers.selectFor(options.senderId)) {
        try {
          const delta = await this.dependencies.exchange.askManifest(
            peer,
            head,
            base?.configVersion ?? 0,
          );
          accept(applyDelta(base, delta));
          this.counters.fromPeers += 1;
          return true;
        } catch {
          // After a failed request the next peer or the store is asked.
        }
      }
      return false;
    };
    if (!(await askPeers())) await this.#waitBeforeStoreRead(1, options, askPeers);
    return cache.manifest(head.manifestDigest) ?? accept(await this.#readManifestFromStore(head));
  }

  async #readManifestFromStore(head: HeadRecord): Promise<Manifest> {
    const read = this.dependencies.configurationStore.readManifest(head.manifestDigest);
    const manifest = await withTimeout(read, storeTimeoutMs, 'Manifest read');
    this.counters.fromStore += 1;
    return manifest;
  }

  async #fetchSections(
    manifest: Manifest,
    names: readonly string[],
    options: FetchOptions,
  ): Promise<void> {
    const listMissing = (): readonly string[] =>
      names.filter((name) => !this.dependencies.cache.section(manifest.sections[name] ?? ''));
    if (listMissing().length === 0) return;
    if (!options.isStoreFirst) {
      const askPeers = async (): Promise<boolean> => {
        await this.#fetchSectionsFromPeers(manifest, listMissing, options.senderId);
        return listMissing().length === 0;
      };
      if (await askPeers()) return;
      if (await this.#waitBeforeStoreRead(listMissing().length, options, askPeers)) return;
    }
    await this.#readSectionsFromStore(manifest, listMissing());
    if (listMissing().length > 0 && options.isStoreFirst) {
      await this.#fetchSectionsFromPeers(manifest, listMissing, undefined);
    }
  }

  async #readSectionsFromStore(manifest: Manifest, names: readonly string[]): Promise<void> {
    // Index sections without routes share one body.
    const remainingNames = [
      ...new Map(names.map((name) => [manifest.sections[name], name])).values(),
    ];
    const readOneByOne = async (): Promise<void> => {
      for (let name = remainingNames.pop(); name !== undefined; name = remainingNames.pop()) {
        const digest = manifest.sections[name] ?? '';
        const read = this.dependencies.configurationStore.readSection(name, digest);
        const stored = await withTimeout(read, storeTimeoutMs, 'Section read').catch(() => null);
        if (stored) {
          this.counters.fromStore += 1;
          this.#addSection(name, digest, stored.body);
        }
      }
    };
    await Promise.all(Array.from({ length: parallelReadsMax }, readOneByOne));
  }

  async #fetchSectionsFromPeers(
    manifest: Manifest,
    listMissing: () => readonly string[],
    senderId: string | undefined,
  ): Promise<void> {
    for (const peer of this.dependencies.peers.selectFor(senderId)) {
      const names = listMissing();
      if (names.length === 0) return;
      const nameOf = new Map(names.map((name) => [manifest.sections[name] ?? '', name]));
      try {
        const bodies = await this.dependencies.exchange.askSections(peer, [...nameOf.keys()]);
        for (const [digest, body] of bodies) {
          const name = nameOf.get(digest);
          if (name !== undefined && this.#addSection(name, digest, body))
            this.counters.fromPeers += 1;
        }
      } catch (error) {
        if (error instanceof RejectedSnapshotError) throw error;
        // After a failed request the next peer or the store is asked.
      }
    }
  }

  /**
   * Adds a body to the cache and returns true if its digest matches; rejects the snapshot if the body
   * matches but violates the schema.
   */
  #addSection(name: string, digest: string, body: string): boolean {
    const { checker, cache } = this.dependencies;
    if (checker.digestOf(body) !== digest) {
      this.counters.badDigests += 1;
      return false;
    }
    try {
      const parsed = checker.parseSection(name, body);
      cache.addSection(digest, { body, parsed });
      return true;
    } catch (cause) {
      throw createRejectedSnapshotError(`Section ${name} violates the schema`, cause);
    }
  }

  #buildSnapshot(head: HeadRecord, manifest: Manifest, names: readonly string[]): Snapshot {
    const { validator, cache, checker } = this.dependencies;
    const held = new Map(
      names.flatMap((name) => {
        const section = cache.section(manifest.sections[name] ?? '');
        return section ? [[name, section.parsed] as const] : [];
      }),
    );
    const missing = validator.findMissingSections(names, new Set(held.keys()));
    if (missing.length > 0)
      throw createDistributionError(`Sections are missing: ${missing.join(', ')}`);
    let meshSection: MeshSection = { dataCentres: [] };
    const routes: RoutesSection[] = [];
    const services = new Map<string, ServiceSection>();
    for (const [name, parsed] of held) {
      if (parsed.kind === 'mesh') meshSection = parsed.mesh;
      else if (parsed.kind === 'routes') routes.push(parsed.routes);
      else services.set(name, parsed.section);
    }
    const mesh = checker.joinMesh(meshSection, routes);
    const dangling = validator.findDanglingReferences({ mesh, services }, manifest);
    if (dangling.length > 0) {
      throw createRejectedSnapshotError(`References are dangling: ${dangling.join('; ')}`);
    }
    return {
      configVersion: head.configVersion,
      manifestDigest: head.manifestDigest,
      mesh,
      services,
    };
  }

  /**
   * Spreads the store reads of nodes whose peers lack the version at the same time. Meanwhile peers
   * are asked again, so that in a cold start few nodes read the store and the others fetch from them.
   * Returns whether peers delivered the content; rejects with `DistributionError` if the fetch is
   * obsolete.
   */
  async #waitBeforeStoreRead(
    reads: number,
    options: FetchOptions,
    askPeers: () => Promise<boolean>,
  ): Promise<boolean> {
    const { members, random, expectedFleetSize } = this.dependencies;
    const nodeCount = Math.max(members.fleetSize(), expectedFleetSize);
    const endMs = monotonicNowMs() + burstDelayMs(nodeCount * reads, random);
    try {
      for (;;) {
        const leftMs = endMs - monotonicNowMs();
        this.#isWaitingForStore = true;
        await sleep(Math.min(Math.max(0, leftMs), peerRetryIntervalMs * (0.5 + random.next())));
        this.#isWaitingForStore = false;
        if (options.isSuperseded()) throw createDistributionError('A newer head is known');
        if (endMs <= monotonicNowMs()) return false;
        if (await askPeers()) return true;
      }
    } finally {
      this.#isWaitingForStore = false;
    }
  }
}
